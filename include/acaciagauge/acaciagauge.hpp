#pragma once

/// @file
/// @brief The one public header of the decision library.

#include "acaciagauge/detail/admission/server_queue.hpp"
#include "acaciagauge/detail/assignment/domain_record.hpp"
#include "acaciagauge/detail/assignment/home_keeper.hpp"
#include "acaciagauge/detail/assignment/home_map.hpp"
#include "acaciagauge/detail/charts/chart.hpp"
#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"
#include "acaciagauge/detail/keyspace/partition.hpp"
#include "acaciagauge/detail/ownership/agent.hpp"
#include "acaciagauge/detail/ownership/grant_table.hpp"
#include "acaciagauge/detail/ownership/holders.hpp"
#include "acaciagauge/detail/ownership/messages.hpp"
#include "acaciagauge/detail/ownership/orders.hpp"
#include "acaciagauge/detail/planning/planner.hpp"
#include "acaciagauge/detail/relay/knowledge.hpp"
#include "acaciagauge/detail/routing/retry.hpp"
#include "acaciagauge/detail/routing/route_table.hpp"
#include "acaciagauge/detail/tickets/filing.hpp"
#include "acaciagauge/detail/tickets/ticket.hpp"
