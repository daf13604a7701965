// Traces as JSON lines.
#include "replay/Trace.h"

#include "decisions/JsonFields.h"

#include <istream>
#include <ostream>

namespace jj {

namespace {

    class TraceCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "jj.replay.trace"; }
        std::string message(int code) const override
        {
            switch (static_cast<TraceError>(code)) {
            case TraceError::Syntax:
                return "no record of a trace";
            case TraceError::NoSite:
                return "no site with nodes and engines";
            case TraceError::Order:
                return "times fall";
            case TraceError::Range:
                return "fault at something that isn't in the site";
            }
            return "unknown";
        }
    };

    template <class T>
    void writeRecord(const char* type, const T& record, std::ostream& out)
    {
        boost::json::object object;
        object["type"] = type;
        boost::json::value fields = jsonfields::encode(record);
        for (auto& field : fields.as_object())
            object[field.key()] = std::move(field.value());
        out << boost::json::serialize(object) << '\n';
    }

    template <class T>
    bool append(const boost::json::value& value, std::vector<T>& records)
    {
        records.emplace_back();
        return jsonfields::decode(value, records.back());
    }

    bool readRecord(const std::string& line, Trace& trace)
    {
        boost::json::error_code error;
        const boost::json::value value = boost::json::parse(line, error);
        const boost::json::object* object = error ? nullptr : value.if_object();
        const boost::json::value* type = object ? object->if_contains("type") : nullptr;
        const boost::json::string* name = type ? type->if_string() : nullptr;
        if (!name)
            return false;
        if (*name == "Site")
            return jsonfields::decode(value, trace.site_);
        if (*name == "Arrival")
            return append(value, trace.arrivals_);
        if (*name == "Job")
            return append(value, trace.jobs_);
        if (*name == "Fault")
            return append(value, trace.faults_);
        return false;
    }

    template <class T>
    bool inOrder(const std::vector<T>& records)
    {
        for (std::size_t i = 1; i < records.size(); ++i) {
            if (records[i].at_ < records[i - 1].at_)
                return false;
        }
        return true;
    }

    bool targetsExist(const Trace& trace)
    {
        for (const Fault& fault : trace.faults_) {
            const bool ofNode = fault.kind_ == FaultKind::NodeLost || fault.kind_ == FaultKind::NodeBack;
            if (fault.target_ >= (ofNode ? trace.site_.nodes_.size() : trace.site_.engines_.size()))
                return false;
        }
        return true;
    }

} // namespace

std::error_code make_error_code(TraceError error)
{
    static const TraceCategory category;
    return { static_cast<int>(error), category };
}

void writeTrace(const Trace& trace, std::ostream& out)
{
    writeRecord("Site", trace.site_, out);
    for (const Job& job : trace.jobs_)
        writeRecord("Job", job, out);
    for (const Fault& fault : trace.faults_)
        writeRecord("Fault", fault, out);
    for (const Arrival& arrival : trace.arrivals_)
        writeRecord("Arrival", arrival, out);
}

Checked<Trace> readTrace(std::istream& in)
{
    Trace trace;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (!line.empty() && !readRecord(line, trace))
            return Failure { TraceError::Syntax, "line " + std::to_string(number) };
    }
    if (trace.site_.nodes_.empty() || trace.site_.engines_.empty())
        return Failure { TraceError::NoSite, {} };
    if (!inOrder(trace.arrivals_) || !inOrder(trace.jobs_) || !inOrder(trace.faults_))
        return Failure { TraceError::Order, {} };
    if (!targetsExist(trace))
        return Failure { TraceError::Range, {} };
    return trace;
}

} // namespace jj
