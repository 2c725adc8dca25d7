// Creation, encoding and verification of the keys of teams and operators.
#pragma once

#include "core/result.h"
#include "fleet.pb.h"

#include <string>
#include <string_view>

namespace teasel {

// The token handed to the owner of a key and the record that the fleet stores of it.
struct KeyMaterial {
    std::string token; // `<id>.<secret>`, shown once
    schema::Key stored; // id, salt and hash; the caller sets team and role
};

// The two parts of a token, as views into it.
struct TokenParts {
    std::string_view id;
    std::string_view secret;
};

// Creates a key with a random secret and salt from OpenSSL. An empty id is replaced by a random one.
// Fails with BadRequest if the id is not valid, see isValidKeyId.
Result<KeyMaterial> makeKey(std::string_view id);

// Whether a key id is valid: 1 to 64 letters, digits, `-` and `_`.
bool isValidKeyId(std::string_view);

// Splits a token at its first dot. Fails with Unauthenticated if a part is missing.
Result<TokenParts> splitToken(std::string_view token);

// SHA-256 of the salt followed by the secret, 32 bytes.
std::string hashSecret(std::string_view salt, std::string_view secret);

// Whether the secret belongs to the key. Takes constant time for right and wrong secrets.
bool secretMatches(const schema::Key&, std::string_view secret);

std::string toHex(std::string_view bytes);

// Fails with BadRequest if the text is not hexadecimal.
Result<std::string> fromHex(std::string_view text);

} // namespace teasel
