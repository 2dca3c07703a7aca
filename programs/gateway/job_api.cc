#include "programs/gateway/job_api.h"

namespace sassafras {

void job_api::Handle(http_exchange exchange) {
  node_.Counters().AddError(error_kind::kNotFound);
  exchange.reply(
      ErrorResponse(Fail(error_kind::kNotFound, exchange.request.path)));
}

void job_api::OnConfig(const config_ptr& /*config*/) {}

void job_api::OnPeer(const std::string& /*kind*/, const std::string& /*body*/) {
}

void job_api::Stop(std::function<void()> done) {
  done();
}

}  // namespace sassafras
