// Describes the whole fleet as JSON for operators, as one node sees it. Any node can serve this page, so an operator needs to query only
// one.
//
//     {"host":"10.1.0.7:7000","config":18,"engines":2210,"nodes":295,"cells":[
//       {"delegate":"10.1.0.9:7000","nodes":49,"config":18,"engines":2210,"ageMs":120,"hosts":[
//         {"host":"10.1.0.9:7000","runsJobs":true,"watches":false,"keptJobs":0,"behind":false,"lostStore":false}]}]}
//
// `hosts` lists, for each cell, at most 64 hosts: those that run jobs, follow the store or hold spooled jobs, those that apply an older
// configuration than their delegate, and those that can't reach the store themselves. `ageMs` is the age of the cell's data.
#pragma once

#include "Fleet.h"

#include <string>

namespace jj {

std::string fleetPage(const Fleet& fleet, KnownVersions own, TimePoint now);

} // namespace jj
