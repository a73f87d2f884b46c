#include "bench.hpp"

#include <functional>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    using namespace acaciagauge::bench;
    const std::map<std::string, std::function<void()>> benches { { "unavailable", runUnavailabilityBench },
        { "placement", runPlacementBench }, { "admission", runAdmissionBench }, { "spread", runDisseminationBench },
        { "selection", runSelectionBench }, { "slopes", runCostBench } };
    if (argc == 2 && benches.contains(argv[1])) {
        benches.at(argv[1])();
        return 0;
    }
    std::cerr << "usage: acaciagauge_bench BENCH, where BENCH is one of:";
    for (const auto& it : benches)
        std::cerr << " " << it.first;
    std::cerr << '\n';
    return 1;
}
