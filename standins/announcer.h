// Posts a stand-in's announcement to one of the entry instances, about twice a second; switches to the next instance
// when one does not accept it.
#pragma once

#include "core/clock.h"
#include "net/http_client.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace teasel {

class Announcer {
public:
    using MakeBody = std::function<std::string()>;
    // Called with the response body and the time when the announcement was sent.
    using OnReply = std::function<void(const std::string&, Instant sentAt)>;

    Announcer(std::vector<std::string> entries, std::string path, MakeBody, OnReply = {});
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    void start();
    void announceNow();
    void stop();

private:
    void run();
    void post();

    std::vector<std::string> m_entries;
    std::string m_path;
    MakeBody m_makeBody;
    OnReply m_onReply;
    SystemClock m_clock;
    HttpClient m_client;
    std::atomic<size_t> m_nextEntry = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false; // guarded by m_mutex
    bool m_announceRequested = true; // guarded by m_mutex
    std::thread m_thread;
};

} // namespace teasel
