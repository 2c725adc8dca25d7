// Keys of teams and operators: how they are made, written and checked.
#pragma once

#include "core/result.h"
#include "fleet.pb.h"

#include <string>
#include <string_view>

namespace teasel {

// A key as handed to its owner, with what the fleet stores of it.
struct KeyMaterial {
    std::string token; // `<id>.<secret>`, shown once
    schema::Key stored; // id, salt and hash; team and role are left to the caller
};

// The two halves of a token; views into it.
struct TokenParts {
    std::string_view id;
    std::string_view secret;
};

// Makes a key with a random secret and salt from OpenSSL. With an empty id a random one is made.
// Fails with BadRequest for an id with other characters than letters, digits, `-` and `_`.
Result<KeyMaterial> makeKey(std::string_view id);

// Whether an id may name a key: letters, digits, `-` and `_`, at most 64 of them.
bool isValidKeyId(std::string_view);

// Splits a token at its first dot. Fails with Unauthenticated.
Result<TokenParts> splitToken(std::string_view token);

// SHA-256 of the salt followed by the secret, 32 bytes.
std::string hashSecret(std::string_view salt, std::string_view secret);

// Whether the secret belongs to the key. Takes the same time for right and wrong secrets.
bool secretMatches(const schema::Key&, std::string_view secret);

std::string toHex(std::string_view bytes);

// Fails with BadRequest.
Result<std::string> fromHex(std::string_view text);

} // namespace teasel
