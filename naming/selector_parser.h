// Reads the text of selectors; the grammar stands in naming/selector.h.
#pragma once

#include "core/result.h"
#include "naming/selector.h"

#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Reads one selector, term by term.
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
    Result<void> readQuoted();
    Result<SelectorTerm> readTerm();
    Result<SelectorTerm> readExistence(SelectorOperator);
    Result<void> readOperator(SelectorTerm&);
    Result<void> readList(SelectorTerm&);
    Result<std::string> readName(std::string_view expected);
    bool isWord(std::string_view keyword) const;
    bool isSymbol(std::string_view symbol) const;
    boost::leaf::error_id refuse(std::string_view expected) const;

    std::string_view m_text;
    size_t m_next = 0; // where the token after m_token begins
    Token m_token;
};

// Whether a name or value can stand without quotes.
bool isBareWord(std::string_view);

} // namespace teasel
