#include "process/AnswerReader.h"

namespace hickoryspur {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

} // namespace

AnswerReader::AnswerReader(ParserLimits limits, ByteBudget::Share held, Request request)
    : m_limits(limits)
    , m_request(request)
{
    start(std::move(held));
}

void AnswerReader::start(ByteBudget::Share held)
{
    m_parser.emplace(m_limits, std::move(held));
    m_parser->eager(true);
    m_parser->skip(m_request == Request::Head);
}

error_code AnswerReader::parse(boost::beast::flat_buffer &buffer)
{
    error_code error;
    while (!error && !isDone() && buffer.size() > 0) {
        const size_t used = m_parser->put(buffer.data(), error);
        buffer.consume(used);
        m_parsedBytes += used;
        if (!error && isDone() && isInterimStatus(m_parser->get().result_int()))
            error = dropInterim();
    }
    return error == http::error::need_more ? error_code() : error;
}

error_code AnswerReader::parseEnd()
{
    error_code error;
    if (hasBegun())
        m_parser->put_eof(error);
    if (!error && !isDone())
        error = http::error::end_of_stream;
    return error;
}

error_code AnswerReader::dropInterim()
{
    if (m_parsedBytes > m_limits.headerBytes)
        return make_error_code(http::error::header_limit);
    ByteBudget::Share held = std::move(m_parser->held());
    start(std::move(held));
    return {};
}

} // namespace hickoryspur
