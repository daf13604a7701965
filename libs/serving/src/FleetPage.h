// What one node knows of the whole fleet, as JSON for operators: any node tells it, so nobody has to ask all of them.
//
//     {"host":"10.1.0.7:7000","config":18,"engines":2210,"nodes":295,"cells":[
//       {"delegate":"10.1.0.9:7000","nodes":49,"config":18,"engines":2210,"ageMs":120,"hosts":[
//         {"host":"10.1.0.9:7000","runsJobs":true,"watches":false,"keptJobs":0,"behind":false,"lostStore":false}]}]}
//
// `hosts` are those that others rely on, that apply an older configuration than their delegate, or that get no answer of the store themselves; at
// most 64 a cell. What is said of a cell is `ageMs` old.
#pragma once

#include "Fleet.h"

#include <string>

namespace jj {

std::string fleetPage(const Fleet& fleet, KnownVersions own, TimePoint now);

} // namespace jj
