#include "programs/gateway/request_service.h"

namespace sassafras {

void request_service::Handle(http_exchange exchange,
                             const std::string& class_name) {
  node_.Counters().AddError(error_kind::kNoMinion);
  exchange.reply(ErrorResponse(Fail(error_kind::kNoMinion, class_name)));
}

void request_service::OnConfig(const config_ptr& /*config*/) {}

void request_service::OnPeer(const std::string& /*kind*/,
                             const std::string& /*body*/) {}

void request_service::Stop(std::function<void()> done) {
  done();
}

}  // namespace sassafras
