#include "standins/load_plan.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace teasel {

namespace {

    LoadAccount accountFrom(const nlohmann::json& it)
    {
        return { it.at("name"), it.value("key", ""), it.value("weight", 1.0) };
    }

    LoadClass classFrom(const nlohmann::json& it)
    {
        LoadClass out;
        out.name = it.at("name");
        out.weight = it.value("weight", out.weight);
        out.idempotent = it.value("idempotent", out.idempotent);
        out.deadlineMs = it.value("deadline_ms", out.deadlineMs);
        out.bodyBytes = it.value("body_bytes", out.bodyBytes);
        out.selector = it.value("selector", "");
        return out;
    }

} // namespace

Result<LoadPlan> readLoadPlan(std::string_view path)
{
    std::ifstream file { std::string(path) };
    if (!file)
        return fail(ErrorKind::BadRequest, fmt::format("{}: cannot be read", path));
    try {
        const auto json = nlohmann::json::parse(file);
        LoadPlan plan;
        plan.servers = json.at("servers").get<std::vector<std::string>>();
        plan.executors = json.value("executors", std::vector<std::string> {});
        for (const auto& it : json.at("accounts"))
            plan.accounts.push_back(accountFrom(it));
        for (const auto& it : json.at("classes"))
            plan.classes.push_back(classFrom(it));
        plan.rate = json.value("rate", plan.rate);
        plan.seconds = json.value("seconds", plan.seconds);
        plan.seed = json.value("seed", plan.seed);
        return plan;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorKind::BadRequest, fmt::format("{}: {}", path, error.what()));
    }
}

} // namespace teasel
