// The HTTP forms of calls, answers and watch lines.
#pragma once

#include "base/Result.h"
#include "http/Message.h"
#include "objects/ObjectApi.h"

namespace jj {

http::Request toRequest(const ObjectCall& call);
http::Request toWatchRequest(const std::string& prefix, ObjectVersion from);
ObjectAnswer toAnswer(const ObjectCall& call, const http::Response& response);
// What a call comes to of which no answer came.
ObjectAnswer withoutAnswer(const ObjectCall& call, RunState ran);
Result<ObjectChange> toChange(std::string_view line);

} // namespace jj
