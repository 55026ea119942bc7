#include "libraries/model/bundle.h"

#include <algorithm>

namespace papayalift {

namespace {

template <typename Item, typename Id>
const Item* FindById(const std::vector<Item>& items, const Id& id) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&id](const Item& item) { return item.id == id; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const WorkspaceSpec* Bundle::FindWorkspace(const WorkspaceId& id) const {
  return FindById(workspaces, id);
}

const WorkerSpec* Bundle::FindWorker(const WorkerId& id) const { return FindById(workers, id); }

const ServiceSpec* Bundle::FindService(const ServiceId& id) const { return FindById(services, id); }

}  // namespace papayalift
