#include "standins/announcer.h"

#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds announceInterval { 500 };
    constexpr Milliseconds responseTimeout { 1'000 };

} // namespace

Announcer::Announcer(std::vector<std::string> entries, std::string path, MakeBody makeBody, OnReply onReply)
    : m_entries(std::move(entries))
    , m_path(std::move(path))
    , m_makeBody(std::move(makeBody))
    , m_onReply(std::move(onReply))
    , m_client({ 1 })
{
}

Announcer::~Announcer() { stop(); }

void Announcer::start()
{
    m_thread = std::thread([this] { run(); });
}

void Announcer::announceNow()
{
    const std::lock_guard lock(m_mutex);
    m_announceRequested = true;
    m_wake.notify_all();
}

void Announcer::stop()
{
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    m_client.stop();
}

void Announcer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_announceRequested = false;
        lock.unlock();
        post();
        lock.lock();
        m_wake.wait_for(lock, announceInterval, [this] { return m_stopping || m_announceRequested; });
    }
}

void Announcer::post()
{
    HttpCall call;
    call.url = "http://" + m_entries[m_nextEntry % m_entries.size()] + m_path;
    call.headers = { { "Content-Type", "application/json" } };
    call.body = std::make_shared<const std::string>(m_makeBody());
    call.timeout = responseTimeout;
    const auto sentAt = m_clock.now();
    m_client.start(std::move(call), [this, sentAt](const HttpOutcome& outcome) {
        if (outcome.result != HttpCallResult::Answered || outcome.status != 200)
            ++m_nextEntry; // use another entry instance next time
        else if (m_onReply)
            m_onReply(outcome.body, sentAt);
    });
}

} // namespace teasel
