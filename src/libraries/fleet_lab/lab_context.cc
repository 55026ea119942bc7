#include "libraries/fleet_lab/lab_context.h"

#include <fmt/format.h>

namespace papayalift {

LabContext::LabContext(const FleetListing& listing, std::uint64_t lab_seed)
    : fleet(listing),
      seed(lab_seed),
      run_name(fmt::format("lab-{}-{}", lab_seed, clock.WallNow().count())),
      client(std::make_shared<HttpClient>()),
      api(client),
      controls(listing, client),
      node_health(listing.nodes(), lab_seed) {}

}  // namespace papayalift
