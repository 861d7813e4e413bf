// Bytes that upstreams send as an answer: answers that are malformed by HTTP/1.1, and valid ones in unusual forms. They
// bear the upstream's signature where the form has room for it, and are meant for a connection that is closed after
// them.
#pragma once

#include <string>
#include <vector>

namespace hickoryspur::answers {

struct NamedBytes
{
    std::string name;
    std::string bytes;
};

inline const std::string kBody = "the body of it..";
inline const std::string kSignature = "Hickoryspur-Server-Seal: sig\r\n";
inline const std::string kLength = "Content-Length: 16\r\n";
inline const std::string kChunked = "Transfer-Encoding: chunked\r\n";
inline const std::string kChunks = "10\r\n" + kBody + "\r\n0\r\n";

/** An answer with this start line, and with these fields after the signature. */
inline std::string withHead(const std::string &startLine, const std::string &fields, const std::string &rest = kBody)
{
    return startLine + "\r\n" + kSignature + fields + "\r\n" + rest;
}

inline std::string withStatus(const std::string &status)
{
    return withHead("HTTP/1.1 " + status + " Status", kLength);
}

inline std::string withFields(const std::string &fields, const std::string &rest = kBody)
{
    return withHead("HTTP/1.1 200 OK", fields, rest);
}

inline std::string valid()
{
    return withStatus("200");
}

/** The same bytes with a field by which the upstream states that it has not run the request. */
inline std::string statingNotRun(std::string bytes)
{
    const size_t at = bytes.find(kSignature);
    return at == std::string::npos ? bytes : bytes.insert(at, "Hickoryspur-Not-Executed: 1\r\n");
}

inline std::vector<NamedBytes> invalidStatuses()
{
    std::vector<NamedBytes> result;
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "-20", ""})
        result.push_back({"status " + status, withStatus(status)});
    return result;
}

inline std::vector<NamedBytes> malformedStartLines()
{
    return {{"another protocol", withHead("ICY 200 OK", kLength)},
            {"version 2.0", withHead("HTTP/2.0 200 OK", kLength)},
            {"version 1.2", withHead("HTTP/1.2 200 OK", kLength)},
            {"no version", withHead("200 OK", kLength)},
            {"control byte in the reason", withHead("HTTP/1.1 200 O\x01K", kLength)},
            {"lines that end with LF", "HTTP/1.1 200 OK\nHickoryspur-Server-Seal: sig\nContent-Length: 16\n\n" + kBody},
            {"nothing", ""},
            {"a body only", kBody},
            {"a blank line first", "\r\n" + valid()},
            {"a cut head", "HTTP/1.1 200 OK\r\n" + kSignature + kLength}};
}

/** Names of fields that hold a byte which no name may have. */
inline std::vector<NamedBytes> withByteInName(char byte)
{
    const std::string text(1, byte);
    const std::string code = " byte " + std::to_string(static_cast<unsigned char>(byte));
    return {{"in a name," + code, withFields("X" + text + "Bad: 1\r\n" + kLength)},
            {"before the colon," + code, withFields("X-Bad" + text + ": 1\r\n" + kLength)},
            {"first in the head," + code, "HTTP/1.1 200 OK\r\n" + text + kSignature + kLength + "\r\n" + kBody}};
}

inline std::vector<NamedBytes> malformedFields()
{
    std::vector<NamedBytes> result = {{"no colon", withFields("X-Bad\r\n" + kLength)},
                                      {"no name", withFields(": 1\r\n" + kLength)},
                                      {"control byte in a value", withFields("X-Bad: a\x01" + ("b\r\n" + kLength))},
                                      {"CR in a value", withFields("X-Bad: a\rb\r\n" + kLength)},
                                      {"LF in a value", withFields("X-Bad: a\nb\r\n" + kLength)}};
    for (const char byte : {' ', '\t', '\0', '\x01', '\x0b', '\x7f', '\x80', '(', '@'})
        for (const NamedBytes &answer : withByteInName(byte))
            result.push_back(answer);
    return result;
}

inline std::vector<NamedBytes> foldedLines()
{
    return {{"blank before a name", withFields(" X-Folded: 1\r\n" + kLength)},
            {"tab before a name", withFields("\tX-Folded: 1\r\n" + kLength)},
            {"blank before the length", withFields(" Content-Length: 3\r\n")},
            {"tab before the length", withFields("\tContent-Length: 16\r\n")},
            {"blank before the coding", withFields(" " + kChunked, kChunks + "\r\n")},
            {"after an empty value", withFields("X-Empty:\r\n folded\r\n" + kLength)},
            {"last in the head", withFields(kLength + " folded\r\n")},
            {"a line of blanks", withFields("X-Field: 1\r\n  \r\n" + kLength)},
            {"in a coding", withFields("Transfer-Encoding:\r\n chunked\r\n", kChunks + "\r\n")},
            {"after the last chunk", withFields(kChunked, kChunks + "X-Late: 1\r\n folded\r\n\r\n")}};
}

inline std::vector<NamedBytes> unknownCodings()
{
    std::vector<NamedBytes> result = {
        {"coding with a length", withFields("Transfer-Encoding: gzip\r\n" + kLength)},
        {"coding after a length", withFields(kLength + "Transfer-Encoding: gzip\r\n")},
        {"coding before chunked", withFields("Transfer-Encoding: gzip\r\n" + kChunked, kChunks + "\r\n")},
        {"coding after chunked", withFields(kChunked + "Transfer-Encoding: gzip\r\n", kChunks + "\r\n")},
        {"chunked of version 1.0", withHead("HTTP/1.0 200 OK", kChunked, kChunks + "\r\n")}};
    for (const std::string coding : {"chunked, gzip", "gzip, chunked", "gzip", "identity", "x-unknown", "chunked;q=1",
                                     "\"chunked\"", "chunked, chunked", ",", ""})
        result.push_back({"coding " + coding, withFields("Transfer-Encoding: " + coding + "\r\n", kChunks + "\r\n")});
    return result;
}

inline std::vector<NamedBytes> invalidLengths()
{
    std::vector<NamedBytes> result = {
        {"two lengths", withFields(kLength + "Content-Length: 3\r\n")},
        {"length and chunks", withFields(kLength + kChunked, kChunks + "\r\n")},
        {"chunks and length", withFields(kChunked + kLength, kChunks + "\r\n")},
        {"cut body", withFields("Content-Length: 17\r\n")},
        {"cut chunk", withFields(kChunked, "10\r\nthe b")},
        {"no last chunk", withFields(kChunked, "10\r\n" + kBody + "\r\n")},
        {"no end of the last chunk", withFields(kChunked, kChunks)},
        {"size of a chunk", withFields(kChunked, "x0\r\n" + kBody + "\r\n0\r\n\r\n")},
        {"size of a chunk beyond 64 bits", withFields(kChunked, "10000000000000010\r\n" + kBody + "\r\n0\r\n\r\n")},
        {"no end of a chunk", withFields(kChunked, "10\r\n" + kBody + "0\r\n\r\n")},
        {"name after the last chunk", withFields(kChunked, kChunks + "X Bad: 1\r\n\r\n")},
        {"length after the last chunk", withFields(kChunked, kChunks + "Content-Length: 3\r\n\r\n")}};
    for (const std::string length : {"-16", "+16", "16, 3", "", "0x10", "16 3", "16;", "18446744073709551632"})
        result.push_back({"length " + length, withFields("Content-Length: " + length + "\r\n")});
    return result;
}

/** Interim answers without a final one. */
inline std::vector<NamedBytes> interimOnly()
{
    std::vector<NamedBytes> result;
    for (const std::string status : {"100", "102", "103", "199"})
        result.push_back({"only " + status, withHead("HTTP/1.1 " + status + " Interim", "", "")});
    return result;
}

/** An interim answer before what is no answer, and one with the body that it cannot have. */
inline std::vector<NamedBytes> malformedAfterInterim()
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    return {{"status after an interim answer", interim + withStatus("000")},
            {"cut after an interim answer", interim + "HTTP/1.1 200 OK\r\n" + kSignature},
            {"body of an interim answer", withHead("HTTP/1.1 100 Continue", kLength) + valid()}};
}

/** Complete answers with kBody, whose forms HTTP/1.1 allows. */
inline std::vector<NamedBytes> validAnswers()
{
    return {{"length", valid()},
            {"chunks", withFields(kChunked, kChunks + "\r\n")},
            {"chunks in capitals", withFields("TRANSFER-ENCODING: Chunked \r\n", kChunks + "\r\n")},
            {"chunks and a late field", withFields(kChunked, kChunks + "X-Late: 1\r\n\r\n")},
            {"neither length nor chunks", withFields("")},
            {"length twice", withFields(kLength + kLength)},
            {"version 1.0", withHead("HTTP/1.0 200 OK", kLength)},
            {"no reason", withHead("HTTP/1.1 200 ", kLength)},
            {"blanks and tabs around a value", withFields("X-Field: \t a \t b \t \r\n" + kLength)},
            {"an empty value", withFields("X-Field:\r\n" + kLength)},
            {"bytes above 127 in a value", withFields("X-Field: \xc3\xa4\r\n" + kLength)}};
}

/** The same after interim answers. */
inline std::vector<NamedBytes> validAfterInterim()
{
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
    return {{"after 100", "HTTP/1.1 100 Continue\r\n\r\n" + valid()},
            {"after 102", "HTTP/1.1 102 Processing\r\n" + kSignature + "\r\n" + valid()},
            {"after 103", hints + valid()},
            {"after several", "HTTP/1.1 100 \r\n\r\n" + hints + hints + valid()},
            {"chunks after 100", "HTTP/1.1 100 Continue\r\n\r\n" + withFields(kChunked, kChunks + "\r\n")}};
}

/** All that is no complete answer. */
inline std::vector<NamedBytes> allMalformed()
{
    std::vector<NamedBytes> result;
    for (const auto &group : {invalidStatuses(), malformedStartLines(), malformedFields(), foldedLines(),
                              unknownCodings(), invalidLengths(), interimOnly(), malformedAfterInterim()})
        result.insert(result.end(), group.begin(), group.end());
    return result;
}

/** All that is a complete answer. */
inline std::vector<NamedBytes> allValid()
{
    std::vector<NamedBytes> result = validAnswers();
    for (const NamedBytes &answer : validAfterInterim())
        result.push_back(answer);
    return result;
}

} // namespace hickoryspur::answers
