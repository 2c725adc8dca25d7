// Recursive-descent parser for selectors. The grammar is described in naming/selector.h.
#pragma once

#include "core/result.h"
#include "naming/selector.h"

#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Parses one selector. Use each parser once.
class SelectorParser {
public:
    explicit SelectorParser(std::string_view text);

    Result<std::vector<SelectorTerm>> parse();

private:
    enum class TokenKind : uint8_t {
        End = 0,
        Word = 1, // may be a keyword
        Quoted = 2,
        Symbol = 3,
    };
    struct Token {
        TokenKind kind = TokenKind::End;
        std::string text;
        size_t position = 0;
    };

    Result<void> advance();
    Result<void> readQuotedToken();
    Result<SelectorTerm> parseTerm();
    Result<SelectorTerm> parseExistence(SelectorOperator);
    Result<void> parseOperator(SelectorTerm&);
    Result<void> parseValueList(SelectorTerm&);
    Result<std::string> parseName(std::string_view expected);
    bool isWord(std::string_view keyword) const;
    bool isSymbol(std::string_view symbol) const;
    boost::leaf::error_id unexpectedToken(std::string_view expected) const;

    std::string_view m_text;
    size_t m_offset = 0; // byte offset just after m_token
    Token m_token; // current token
};

// Whether a name or value can be written without quotes.
bool isBareWord(std::string_view);

} // namespace teasel
