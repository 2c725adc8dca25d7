#include "naming/selector_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace teasel {

namespace {

    constexpr std::array<std::string_view, 4> keywords { "and", "in", "not", "exists" };

    bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

    bool isWordByte(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return byte >= 0x80 || std::isalnum(byte) || std::string_view("_-./:@+*#%").find(c) != std::string_view::npos;
    }

} // namespace

bool isBareWord(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isWordByte)
        && std::find(keywords.begin(), keywords.end(), text) == keywords.end();
}

SelectorParser::SelectorParser(std::string_view text)
    : m_text(text)
{
}

boost::leaf::error_id SelectorParser::unexpectedToken(std::string_view expected) const
{
    const auto found = m_token.kind == TokenKind::End ? std::string("the end") : fmt::format("\"{}\"", m_token.text);
    return fail(ErrorKind::BadRequest,
        fmt::format("selector, position {}: expected {}, found {}", m_token.position + 1, expected, found));
}

bool SelectorParser::isWord(std::string_view keyword) const
{
    return m_token.kind == TokenKind::Word && m_token.text == keyword;
}

bool SelectorParser::isSymbol(std::string_view symbol) const
{
    return m_token.kind == TokenKind::Symbol && m_token.text == symbol;
}

Result<void> SelectorParser::readQuotedToken()
{
    m_token.kind = TokenKind::Quoted;
    for (++m_offset; m_offset < m_text.size() && m_text[m_offset] != '"'; ++m_offset) {
        if (m_text[m_offset] == '\\')
            ++m_offset;
        if (m_offset < m_text.size())
            m_token.text += m_text[m_offset];
    }
    if (m_offset >= m_text.size()) {
        m_token = { TokenKind::End, "", m_text.size() };
        return unexpectedToken("a closing quote");
    }
    ++m_offset;
    return {};
}

Result<void> SelectorParser::advance()
{
    while (m_offset < m_text.size() && isSpace(m_text[m_offset]))
        ++m_offset;
    m_token = { TokenKind::End, "", m_offset };
    if (m_offset == m_text.size())
        return {};
    const char c = m_text[m_offset];
    if (c == '"')
        return readQuotedToken();
    const size_t begin = m_offset;
    if (isWordByte(c)) {
        while (m_offset < m_text.size() && isWordByte(m_text[m_offset]))
            ++m_offset;
        m_token = { TokenKind::Word, std::string(m_text.substr(begin, m_offset - begin)), begin };
        return {};
    }
    m_offset += m_text.substr(begin, 2) == "!=" ? 2 : 1;
    m_token = { TokenKind::Symbol, std::string(m_text.substr(begin, m_offset - begin)), begin };
    return {};
}

Result<std::string> SelectorParser::parseName(std::string_view expected)
{
    const bool keyword = m_token.kind == TokenKind::Word && !isBareWord(m_token.text);
    if (keyword || (m_token.kind != TokenKind::Word && m_token.kind != TokenKind::Quoted))
        return unexpectedToken(expected);
    auto name = m_token.text;
    BOOST_LEAF_CHECK(advance());
    return name;
}

Result<SelectorTerm> SelectorParser::parseExistence(SelectorOperator op)
{
    BOOST_LEAF_CHECK(advance());
    if (m_token.kind == TokenKind::Quoted && m_token.text.empty())
        return unexpectedToken("a key");
    BOOST_LEAF_AUTO(key, parseName("a key"));
    return SelectorTerm { std::move(key), op, {} };
}

Result<void> SelectorParser::parseValueList(SelectorTerm& term)
{
    BOOST_LEAF_CHECK(advance());
    if (!isSymbol("("))
        return unexpectedToken("\"(\"");
    do {
        BOOST_LEAF_CHECK(advance());
        BOOST_LEAF_AUTO(value, parseName("a value"));
        term.values.push_back(std::move(value));
    } while (isSymbol(","));
    if (!isSymbol(")"))
        return unexpectedToken("\",\" or \")\"");
    return advance();
}

Result<void> SelectorParser::parseOperator(SelectorTerm& term)
{
    if (isSymbol("=") || isSymbol("!=")) {
        term.op = isSymbol("=") ? SelectorOperator::Equal : SelectorOperator::NotEqual;
        BOOST_LEAF_CHECK(advance());
        BOOST_LEAF_AUTO(value, parseName("a value"));
        term.values.push_back(std::move(value));
        return {};
    }
    if (isWord("not")) {
        term.op = SelectorOperator::NotIn;
        BOOST_LEAF_CHECK(advance());
        if (!isWord("in"))
            return unexpectedToken("\"in\"");
        return parseValueList(term);
    }
    if (!isWord("in"))
        return unexpectedToken("\"=\", \"!=\", \"in\" or \"not in\"");
    term.op = SelectorOperator::In;
    return parseValueList(term);
}

Result<SelectorTerm> SelectorParser::parseTerm()
{
    if (isWord("exists"))
        return parseExistence(SelectorOperator::Exists);
    if (isWord("not")) {
        BOOST_LEAF_CHECK(advance());
        if (!isWord("exists"))
            return unexpectedToken("\"exists\"");
        return parseExistence(SelectorOperator::NotExists);
    }
    if (m_token.kind == TokenKind::Quoted && m_token.text.empty())
        return unexpectedToken("a key");
    SelectorTerm term;
    BOOST_LEAF_ASSIGN(term.key, parseName("a key"));
    BOOST_LEAF_CHECK(parseOperator(term));
    return term;
}

Result<std::vector<SelectorTerm>> SelectorParser::parse()
{
    if (m_text.size() > maxSelectorBytes)
        return fail(ErrorKind::BadRequest,
            fmt::format("selector: expected at most {} bytes, found {}", maxSelectorBytes, m_text.size()));
    std::vector<SelectorTerm> terms;
    BOOST_LEAF_CHECK(advance());
    if (m_token.kind == TokenKind::End)
        return terms;
    for (;;) {
        BOOST_LEAF_AUTO(term, parseTerm());
        terms.push_back(std::move(term));
        if (m_token.kind == TokenKind::End)
            return terms;
        if (!isWord("and"))
            return unexpectedToken("\"and\" or the end");
        BOOST_LEAF_CHECK(advance());
    }
}

} // namespace teasel
