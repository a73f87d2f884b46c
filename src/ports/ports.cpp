#include "ports/ports.hpp"

namespace acaciagauge::ports {

std::string_view nameOf(StoreStatus status)
{
    switch (status) {
    case StoreStatus::done:
        return "done";
    case StoreStatus::conflict:
        return "conflict";
    case StoreStatus::missing:
        return "missing";
    case StoreStatus::compacted:
        return "compacted";
    case StoreStatus::refused:
        return "refused";
    case StoreStatus::unknown:
        return "unknown";
    case StoreStatus::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace acaciagauge::ports
