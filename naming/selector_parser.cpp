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

boost::leaf::error_id SelectorParser::refuse(std::string_view expected) const
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

Result<void> SelectorParser::readQuoted()
{
    m_token.kind = TokenKind::Quoted;
    for (++m_next; m_next < m_text.size() && m_text[m_next] != '"'; ++m_next) {
        if (m_text[m_next] == '\\')
            ++m_next;
        if (m_next < m_text.size())
            m_token.text += m_text[m_next];
    }
    if (m_next >= m_text.size()) {
        m_token = { TokenKind::End, "", m_text.size() };
        return refuse("a closing quote");
    }
    ++m_next;
    return {};
}

Result<void> SelectorParser::advance()
{
    while (m_next < m_text.size() && isSpace(m_text[m_next]))
        ++m_next;
    m_token = { TokenKind::End, "", m_next };
    if (m_next == m_text.size())
        return {};
    const char c = m_text[m_next];
    if (c == '"')
        return readQuoted();
    const size_t begin = m_next;
    if (isWordByte(c)) {
        while (m_next < m_text.size() && isWordByte(m_text[m_next]))
            ++m_next;
        m_token = { TokenKind::Word, std::string(m_text.substr(begin, m_next - begin)), begin };
        return {};
    }
    m_next += m_text.substr(begin, 2) == "!=" ? 2 : 1;
    m_token = { TokenKind::Symbol, std::string(m_text.substr(begin, m_next - begin)), begin };
    return {};
}

Result<std::string> SelectorParser::readName(std::string_view expected)
{
    const bool keyword = m_token.kind == TokenKind::Word && !isBareWord(m_token.text);
    if (keyword || (m_token.kind != TokenKind::Word && m_token.kind != TokenKind::Quoted))
        return refuse(expected);
    auto name = m_token.text;
    BOOST_LEAF_CHECK(advance());
    return name;
}

Result<SelectorTerm> SelectorParser::readExistence(SelectorOperator op)
{
    BOOST_LEAF_CHECK(advance());
    if (m_token.kind == TokenKind::Quoted && m_token.text.empty())
        return refuse("a key");
    BOOST_LEAF_AUTO(key, readName("a key"));
    return SelectorTerm { std::move(key), op, {} };
}

Result<void> SelectorParser::readList(SelectorTerm& term)
{
    BOOST_LEAF_CHECK(advance());
    if (!isSymbol("("))
        return refuse("\"(\"");
    do {
        BOOST_LEAF_CHECK(advance());
        BOOST_LEAF_AUTO(value, readName("a value"));
        term.values.push_back(std::move(value));
    } while (isSymbol(","));
    if (!isSymbol(")"))
        return refuse("\",\" or \")\"");
    return advance();
}

Result<void> SelectorParser::readOperator(SelectorTerm& term)
{
    if (isSymbol("=") || isSymbol("!=")) {
        term.op = isSymbol("=") ? SelectorOperator::Equal : SelectorOperator::NotEqual;
        BOOST_LEAF_CHECK(advance());
        BOOST_LEAF_AUTO(value, readName("a value"));
        term.values.push_back(std::move(value));
        return {};
    }
    if (isWord("not")) {
        term.op = SelectorOperator::NotIn;
        BOOST_LEAF_CHECK(advance());
        if (!isWord("in"))
            return refuse("\"in\"");
        return readList(term);
    }
    if (!isWord("in"))
        return refuse("\"=\", \"!=\", \"in\" or \"not in\"");
    term.op = SelectorOperator::In;
    return readList(term);
}

Result<SelectorTerm> SelectorParser::readTerm()
{
    if (isWord("exists"))
        return readExistence(SelectorOperator::Exists);
    if (isWord("not")) {
        BOOST_LEAF_CHECK(advance());
        if (!isWord("exists"))
            return refuse("\"exists\"");
        return readExistence(SelectorOperator::NotExists);
    }
    if (m_token.kind == TokenKind::Quoted && m_token.text.empty())
        return refuse("a key");
    SelectorTerm term;
    BOOST_LEAF_ASSIGN(term.key, readName("a key"));
    BOOST_LEAF_CHECK(readOperator(term));
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
        BOOST_LEAF_AUTO(term, readTerm());
        terms.push_back(std::move(term));
        if (m_token.kind == TokenKind::End)
            return terms;
        if (!isWord("and"))
            return refuse("\"and\" or the end");
        BOOST_LEAF_CHECK(advance());
    }
}

} // namespace teasel
