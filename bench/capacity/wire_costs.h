/// Message sizes on the wire and CPU time of the sending thread.
#pragma once

namespace papayalift {

struct WireCosts {
  /// Request and reply with their HTTP headers, for one attempt.
  double renewal_bytes = 0;
  double renewal_bytes_per_attempt = 0;
  double renewal_us = 0;
  double transaction_us = 0;
  double range_us = 0;
  /// Watch event for a change of one job record.
  double watch_event_bytes = 0;
  double watch_event_us = 0;
};

WireCosts MeasureWireCosts();

}  // namespace papayalift
