#ifndef SASSAFRAS_REQUEST_SERVICE_TIME_H_
#define SASSAFRAS_REQUEST_SERVICE_TIME_H_

#include <algorithm>
#include <cstdlib>

#include "sassafras/core/time.h"

namespace sassafras {

/// Exponentially weighted moving average of the time from send to answer, and
/// of its mean deviation.
class service_time {
 public:
  void Add(duration sample) {
    if (count_ == 0) {
      mean_ = sample;
      deviation_ = sample / 2;
    } else {
      const duration difference = sample - mean_;
      mean_ += difference / kMeanWeight;
      deviation_ +=
          (std::chrono::abs(difference) - deviation_) / kDeviationWeight;
    }
    count_ = std::min(count_ + 1, kMinSamples);
  }

  /// Whether there are enough samples (20) to base decisions on.
  bool HasEnoughSamples() const { return count_ >= kMinSamples; }

  duration Mean() const { return mean_; }
  duration Deviation() const { return deviation_; }

  /// Upper estimate of the service time, which few answers exceed: the mean
  /// plus six mean deviations.
  duration UpperEstimate() const {
    return mean_ + kUpperEstimateDeviations * deviation_;
  }

 private:
  static constexpr int kMeanWeight = 16;
  static constexpr int kDeviationWeight = 16;
  static constexpr int kUpperEstimateDeviations = 6;
  static constexpr int kMinSamples = 20;

  duration mean_{0};
  duration deviation_{0};
  int count_ = 0;
};

/// Token bucket that limits repeated sends to 10 % of first sends, with a burst
/// of at most 50, so that an outage does not multiply the load.
class retry_budget {
 public:
  /// Adds the share of one first send of a request.
  void OnFirstSend() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstSend);
  }

  /// Takes the token for a repeated send. Returns false if there is none.
  bool TryConsume() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kTokensPerFirstSend = 0.1;
  static constexpr double kMaxTokens = 50.0;

  double tokens_ = 10.0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_SERVICE_TIME_H_
