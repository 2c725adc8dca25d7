#include "fleet/key_material.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace teasel {

namespace {

    constexpr size_t s_secretBytes = 24;
    constexpr size_t s_saltBytes = 16;
    constexpr size_t s_idBytes = 6;
    constexpr size_t s_hashBytes = 32;
    constexpr size_t s_maxIdLength = 64;

    Result<std::string> randomBytes(size_t n)
    {
        std::string buf(n, '\0');
        if (RAND_bytes(reinterpret_cast<unsigned char*>(buf.data()), static_cast<int>(n)) != 1)
            return fail(ErrorKind::Internal, "the random number generator failed");
        return buf;
    }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    bool isIdCharacter(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_'; }

} // namespace

bool isValidKeyId(std::string_view id)
{
    return !id.empty() && id.size() <= s_maxIdLength && std::all_of(id.begin(), id.end(), isIdCharacter);
}

Result<KeyMaterial> makeKey(std::string_view id)
{
    KeyMaterial key;
    if (id.empty()) {
        BOOST_LEAF_AUTO(bytes, randomBytes(s_idBytes));
        key.stored.set_id(toHex(bytes));
    } else if (isValidKeyId(id)) {
        key.stored.set_id(std::string(id));
    } else {
        return fail(ErrorKind::BadRequest, "a key id has letters, digits, '-' and '_', at most 64");
    }
    BOOST_LEAF_AUTO(secretBytes, randomBytes(s_secretBytes));
    BOOST_LEAF_AUTO(salt, randomBytes(s_saltBytes));
    const std::string secret = toHex(secretBytes);
    key.stored.set_salt(salt);
    key.stored.set_hash(hashSecret(salt, secret));
    key.token = key.stored.id() + "." + secret;
    return key;
}

Result<TokenParts> splitToken(std::string_view token)
{
    const size_t dot = token.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == token.size())
        return fail(ErrorKind::Unauthenticated, "a key must have the form <id>.<secret>");
    return TokenParts { token.substr(0, dot), token.substr(dot + 1) };
}

std::string hashSecret(std::string_view salt, std::string_view secret)
{
    std::string input;
    input.reserve(salt.size() + secret.size());
    input.append(salt).append(secret);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int n = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &n, EVP_sha256(), nullptr);
    OPENSSL_cleanse(input.data(), input.size());
    return { reinterpret_cast<const char*>(digest.data()), n };
}

bool secretMatches(const schema::Key& key, std::string_view secret)
{
    const std::string hash = hashSecret(key.salt(), secret);
    if (key.hash().size() != s_hashBytes || hash.size() != s_hashBytes)
        return false;
    return CRYPTO_memcmp(hash.data(), key.hash().data(), s_hashBytes) == 0;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

Result<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return fail(ErrorKind::BadRequest, "hexadecimal text must have an even number of digits");
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (size_t i = 0; i < text.size(); i += 2) {
        const int high = hexDigit(text[i]);
        const int low = hexDigit(text[i + 1]);
        if (high < 0 || low < 0)
            return fail(ErrorKind::BadRequest, "not a hexadecimal digit");
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

} // namespace teasel
