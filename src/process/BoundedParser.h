// The HTTP parser of every reader of this program: answers of upstreams, requests of callers, upstreams and operators,
// and the answers that command-line tools read.
//
// Beast's own message parser takes what its peer states on trust in two places. It reserves the length that a head
// states, also beyond the body limit when bytes of the body come in the same read; and it throws when a field, such as
// one after the last chunk, is too long to be stored. This one has a limit for each part of a message and reports what
// is beyond it as an error. Fields after the last chunk are read, bounded and dropped: nothing here needs them, and as
// header fields they could claim what the head did not.
//
// Beast also accepts messages that are malformed by HTTP/1.1 and gives them out changed. They are errors here: an
// answer with a status other than 100 to 599, or with 101; a field that is folded over several lines, since a faulty
// peer may have meant the further lines as other fields; and a transfer coding other than chunked, whose coded bytes
// would be the body.
#pragma once

#include "hickoryspur/process/ByteBudget.h"
#include "process/ConnectionGuard.h"
#include "process/HttpStatus.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace hickoryspur {

/** What a reader accepts of one message, in bytes. */
struct ParserLimits
{
    uint32_t headerBytes = 16U * 1024;
    uint64_t bodyBytes = 8ULL * 1024 * 1024;
};

template <bool isRequest> class BoundedParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    using Base = boost::beast::http::basic_parser<isRequest>;
    using Message = boost::beast::http::message<isRequest, boost::beast::http::string_body>;

    /** The share counts the body while the message is read, and whoever takes it goes on counting. */
    explicit BoundedParser(ParserLimits limits, ByteBudget::Share held = {})
        : m_limits(limits)
        , m_held(std::move(held))
    {
        Base::header_limit(limits.headerBytes);
        Base::body_limit(limits.bodyBytes);
    }

    const Message &get() const { return m_message; }
    Message release() { return std::move(m_message); }
    ByteBudget::Share &held() { return m_held; }

private:
    using error_code = boost::system::error_code;
    using string_view = boost::beast::string_view;
    using field = boost::beast::http::field;
    using verb = boost::beast::http::verb;
    using error = boost::beast::http::error;

    /** Beast stores the lengths of a field in 16 bits, with separators. */
    static constexpr size_t kMaxFieldBytes = std::numeric_limits<uint16_t>::max() - 16;

    /** Runs a step that stores a part of the message; a step that throws is an error of this message. */
    template <typename Step> static void store(error_code &ec, Step step)
    {
        ec = {};
        if (!runGuarded("parser", std::move(step)))
            ec = make_error_code(boost::system::errc::not_enough_memory);
    }

    void on_request_impl(verb method, string_view methodText, string_view target, int version, error_code &ec) override
    {
        store(ec, [&] {
            if constexpr (isRequest) {
                m_message.target(target);
                if (method != verb::unknown)
                    m_message.method(method);
                else
                    m_message.method_string(methodText);
                m_message.version(version);
            }
        });
    }

    void on_response_impl(int code, string_view, int version, error_code &ec) override
    {
        const auto status = static_cast<unsigned>(code);
        if (!isFinalStatus(status) && !isInterimStatus(status)) {
            ec = error::bad_status;
            return;
        }
        store(ec, [&] {
            if constexpr (!isRequest) {
                m_message.result(status);
                m_message.version(version);
            }
        });
    }

    /**
     * Whether the field goes on in a line that begins with a blank (RFC 9112, section 5.2). Beast joins the lines into
     * the value, but parses them in place and reads one byte beyond the last, so that they can be read behind the name.
     */
    static bool isFolded(string_view nameText)
    {
        const char *lineEnd = nameText.data() + nameText.size();
        while (*lineEnd != '\n')
            ++lineEnd;
        const char next = lineEnd[1];
        return next == ' ' || next == '\t';
    }

    /** Version 1.0 has no transfer codings, and this program decodes no other one and asks for none. */
    bool isReadableCoding(string_view coding) const
    {
        constexpr unsigned kVersion11 = 11;
        return m_message.version() >= kVersion11 && boost::beast::iequals(coding, "chunked");
    }

    void on_field_impl(field name, string_view nameText, string_view value, error_code &ec) override
    {
        if (isFolded(nameText)) {
            ec = error::bad_obs_fold;
            return;
        }
        if (name == field::transfer_encoding && !isReadableCoding(value)) {
            ec = error::bad_transfer_encoding;
            return;
        }
        m_fieldBytes += nameText.size() + value.size();
        if (nameText.size() + value.size() > kMaxFieldBytes || m_fieldBytes > m_limits.headerBytes) {
            ec = error::header_limit;
            return;
        }
        ec = {};
        if (!m_headDone)
            store(ec, [&] { m_message.insert(name, nameText, value); });
    }

    void on_header_impl(error_code &ec) override
    {
        ec = {};
        m_headDone = true;
        m_fieldBytes = 0;
    }

    void on_body_init_impl(const boost::optional<uint64_t> &length, error_code &ec) override
    {
        // Only what has arrived is stored, so a stated length reserves nothing.
        ec = length && *length > m_limits.bodyBytes ? make_error_code(error::body_limit) : error_code();
    }

    size_t on_body_impl(string_view bytes, error_code &ec) override { return append(bytes, ec); }

    void on_chunk_header_impl(uint64_t, string_view, error_code &ec) override { ec = {}; }

    size_t on_chunk_body_impl(uint64_t, string_view bytes, error_code &ec) override { return append(bytes, ec); }

    void on_finish_impl(error_code &ec) override { ec = {}; }

    size_t append(string_view bytes, error_code &ec)
    {
        std::string &body = m_message.body();
        if (bytes.size() > m_limits.bodyBytes - body.size()) {
            ec = error::body_limit;
            return 0;
        }
        store(ec, [&] { body.append(bytes.data(), bytes.size()); });
        if (!ec && !m_held.resize(body.capacity()))
            ec = make_error_code(boost::system::errc::no_buffer_space);
        return ec ? 0 : bytes.size();
    }

    ParserLimits m_limits;
    ByteBudget::Share m_held;
    Message m_message;
    /** Bytes of the fields of the head, or of those after the last chunk. */
    size_t m_fieldBytes = 0;
    bool m_headDone = false;
};

using AnswerParser = BoundedParser<false>;
using RequestParser = BoundedParser<true>;

} // namespace hickoryspur
