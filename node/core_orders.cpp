// CoreNode: orders to executors and calls to the advice service, sent by this instance or over others.
#include "node/core_node.h"

#include "jobs/order_messages.h"
#include "node/batch_parts.h"
#include "node/order_age.h"
#include "platform/order_codec.h"

#include <utility>

namespace teasel {

const std::string& CoreNode::orderSenderFor(const std::string& dataCentre, uint64_t executor) const
{
    static const std::string own;
    const auto found = m_orderSenders.find(dataCentre);
    if (found == m_orderSenders.end())
        return own;
    return found->second[executor % found->second.size()];
}

bool CoreNode::holdsLease(Instant now)
{
    // All actions of a batch are executed with one time.
    if (m_leaseCheck.first != now || !m_leaseCheck.second)
        m_leaseCheck = { now, m_log->holdsLease(now) };
    return m_leaseCheck.second;
}

void CoreNode::execute(SendOrder& action, Instant now)
{
    // After a pause, another leader may have taken over and decided otherwise.
    if (!holdsLease(now)) {
        m_leader.onOrderResult(action.number, { OrderOutcome::NotSent }, now);
        return;
    }
    const auto& sender = orderSenderFor(action.dataCentre, action.executorNumber);
    if (!sender.empty() && sender != m_self) {
        auto& batch = m_orderBatches[sender];
        batch.set_term(m_log->replica().term());
        if (const auto it = m_instances.find(sender); it != m_instances.end())
            batch.set_registered_at_ms(it->second.registeredAtMs);
        *batch.add_orders() = toMessage(action);
        return;
    }
    const auto number = action.number;
    sendOrder(std::move(action), [this, number](OrderResult result) mutable {
        m_loop.postAlways([this, number, result = std::move(result)]() mutable {
            m_leader.onOrderResult(number, std::move(result), m_context.clock.now());
        });
    });
}

void CoreNode::sendOrder(SendOrder order, std::function<void(OrderResult)> done)
{
    auto call = platform::encodeOrder(order);
    m_httpClient.start(
        std::move(call), [order = std::move(order.order), done = std::move(done)](const HttpOutcome& outcome) {
            done(platform::decodeOrderOutcome(order, outcome));
        });
}

void CoreNode::flushOrders()
{
    for (auto& [sender, batch] : m_orderBatches) {
        for (auto& part : partsOf(std::move(batch))) {
            schema::Envelope out;
            *out.mutable_order_batch() = std::move(part);
            m_network.send(sender, std::move(out));
        }
    }
    m_orderBatches.clear();
    for (auto& [leader, batch] : m_resultBatches) {
        for (auto& part : partsOf(std::move(batch))) {
            schema::Envelope out;
            *out.mutable_result_batch() = std::move(part);
            m_network.send(leader.first, std::move(out));
        }
    }
    m_resultBatches.clear();
}

void CoreNode::onOrderBatch(const std::string& from, const schema::OrderBatch& batch, Instant now)
{
    const auto addResult = [this, from, term = batch.term()](schema::RelayedResult message) {
        auto& results = m_resultBatches[{ from, term }];
        results.set_term(term);
        *results.add_results() = std::move(message);
    };
    const auto fault = faultOf(batch, m_log->replica().term(), now);
    if (fault != BatchFault::None) {
        m_context.log.info("orders_dropped",
            { { "leader", from }, { "term", batch.term() }, { "orders", batch.orders_size() },
                { "reason", fault == BatchFault::OldTerm ? "there is a later term" : "too old" } });
        for (const auto& it : batch.orders())
            addResult(toMessage(it.number(), { OrderOutcome::NotSent }));
        return;
    }
    for (const auto& it : batch.orders()) {
        const auto number = it.number();
        if (!isValid(it)) {
            addResult(toMessage(number, {}));
            continue;
        }
        sendOrder(fromMessage(it), [this, number, addResult](const OrderResult& result) {
            m_loop.postAlways([addResult, message = toMessage(number, result)] { addResult(message); });
        });
    }
}

void CoreNode::onResultBatch(const schema::ResultBatch& batch, Instant now)
{
    if (!m_leader.isLeading() || batch.term() != m_log->replica().term())
        return;
    for (const auto& it : batch.results())
        m_leader.onOrderResult(it.number(), fromMessage(it), now);
}

void CoreNode::execute(AskAdvice& action, Instant)
{
    schema::AdviceCall call;
    call.set_number(action.number);
    call.set_address(m_settings.jobs().advice_address());
    call.set_step(stepText(action.step));
    for (auto& it : action.executors)
        call.add_executors(std::move(it));
    call.set_timeout_ms(static_cast<uint64_t>(action.timeout.count()));
    if (action.instance == m_self) {
        sendAdviceCall(call, [this](schema::AdviceResult result) {
            m_loop.postAlways([this, result = std::move(result)] { onAdvice(result, m_context.clock.now()); });
        });
        return;
    }
    schema::Envelope out;
    *out.mutable_advice_call() = std::move(call);
    m_network.send(action.instance, std::move(out));
}

void CoreNode::sendAdviceCall(const schema::AdviceCall& call, std::function<void(schema::AdviceResult)> done)
{
    const auto number = call.number();
    m_httpClient.start(platform::encodeAdviceCall(call), [number, done = std::move(done)](const HttpOutcome& outcome) {
        done(platform::decodeAdviceOutcome(number, outcome));
    });
}

void CoreNode::onAdvice(const schema::AdviceResult& result, Instant now)
{
    std::vector<std::pair<std::string, std::string>> granted;
    for (const auto& it : result.granted())
        granted.emplace_back(it.executor(), it.ticket());
    m_leader.onAdvice(result.number(), result.answered(), granted, now);
}

} // namespace teasel
