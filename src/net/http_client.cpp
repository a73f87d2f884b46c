#include "net/http_client.hpp"

#include "net/http_server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace acaciagauge::net {

using asio::ip::tcp;

namespace {

    /// Interim responses and responses to other requests that are skipped before the connection is closed.
    constexpr int maxStrayResponses = 3;

    /// Memory of a response that is not drawn from the budget: the budget's share of a connection, and of the request
    /// that it answers, covers it.
    constexpr std::uint64_t undrawnBytes = 8 * 1024;

    /// The budget is asked for multiples of this, not for each field.
    constexpr std::uint64_t drawStepBytes = 4 * 1024;

    // Boost.Beast accepts any three digits, but HTTP defines only the classes 1xx to 5xx. 101 answers an upgrade, and
    // no request asks for one.
    bool isStatusDefined(unsigned status)
    {
        constexpr unsigned firstStatus = 100;
        constexpr unsigned lastStatus = 599;
        constexpr unsigned switchingProtocols = 101;
        return status >= firstStatus && status <= lastStatus && status != switchingProtocols;
    }

    // A peer that lost its power or its network does not close its connections: only unacknowledged segments and
    // keep-alive probes reveal it.
    void setUserTimeout(tcp::socket& socket, std::chrono::milliseconds limit)
    {
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        beast::error_code ec;
        socket.set_option(asio::socket_base::keep_alive(true), ec);
        socket.set_option(KeepAliveIdle(1), ec);
        socket.set_option(KeepAliveInterval(1), ec);
        socket.set_option(UserTimeout(static_cast<int>(limit.count())), ec);
    }

    // After an orderly close, the kernel goes on sending unacknowledged data, even seconds later. A request that was
    // given up must not arrive that late, so closing discards unsent data and resets the connection.
    void resetOnClose(tcp::socket& socket)
    {
        beast::error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
    }

    // Reads the server's idle timeout from a header such as "Keep-Alive: timeout=5" (in seconds); 0 if not stated.
    std::chrono::milliseconds parseKeepAliveTimeout(const Response& response)
    {
        auto value = headerOf(response, "Keep-Alive");
        auto at = value.find("timeout=");
        if (at == std::string::npos)
            return std::chrono::milliseconds(0);
        return std::chrono::seconds(std::atoi(value.c_str() + at + 8));
    }

} // namespace

HttpClient::HttpClient(asio::io_context& context, Options options)
    : m_context(context)
    , m_options(options)
{
}

std::shared_ptr<HttpClient> HttpClient::create(asio::io_context& context, Options options)
{
    return std::shared_ptr<HttpClient>(new HttpClient(context, options));
}

bool HttpClient::isUsable(Connection& connection, std::chrono::milliseconds idleTimeout) const
{
    auto limit = idleTimeout;
    if (connection.keepAliveTimeout.count() > 0)
        limit = std::min(limit, connection.keepAliveTimeout - m_options.keepAliveMargin);
    return Clock::now() - connection.idleSince <= limit && hasNoPendingData(connection);
}

// Anything to read on an idle connection is the server's close or a late response to an earlier request.
bool HttpClient::hasNoPendingData(Connection& connection)
{
    char byte = 0;
    auto n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(const std::string& address, const ExchangeOptions& options)
{
    auto idleTimeout = options.idleTimeout.count() > 0 ? options.idleTimeout : m_options.idleTimeout;
    auto pool = m_idle.find(address);
    if (pool == m_idle.end())
        return nullptr;
    auto& idle = pool->second;
    for (auto n = idle.size(); n > 0; --n) {
        if (options.avoidedConnections.contains(idle[n - 1]->id))
            continue;
        auto connection = std::move(idle[n - 1]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(n - 1));
        --m_idleCount;
        if (isUsable(*connection, idleTimeout))
            return connection;
    }
    return nullptr;
}

void HttpClient::closeIdleConnections(const std::string& address)
{
    auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    m_idleCount -= it->second.size();
    m_idle.erase(it);
}

// takeIdle() looks only at the address it is asked for, so connections to servers no longer in use are closed here.
void HttpClient::closeExpired()
{
    auto oldest = Clock::now() - m_options.idleTimeout;
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto stale = std::erase_if(it->second, [&](const auto& kept) { return kept->idleSince < oldest; });
        m_idleCount -= stale;
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

void HttpClient::returnToPool(
    const std::string& address, std::unique_ptr<Connection> connection, const Response& response)
{
    if (m_idleCount >= m_options.maxIdleConnections)
        closeExpired();
    auto& idle = m_idle[address];
    bool isReusable = response.keep_alive() && connection->buffer.size() == 0;
    bool hasRoom = idle.size() < m_options.maxIdlePerAddress && m_idleCount < m_options.maxIdleConnections;
    if (!isReusable || !hasRoom)
        return;
    if (connection->buffer.capacity() > m_options.readBufferBytes) {
        connection->buffer.shrink_to_fit();
        connection->buffer.reserve(m_options.readBufferBytes);
    }
    auto limit = parseKeepAliveTimeout(response);
    if (limit.count() > 0)
        connection->keepAliveTimeout = limit;
    connection->wasUsed = true;
    connection->idleSince = Clock::now();
    idle.push_back(std::move(connection));
    ++m_idleCount;
}

asio::awaitable<std::unique_ptr<HttpClient::Connection>> HttpClient::connect(
    std::string address, ExchangeOptions options, Clock::time_point deadline, Exchange& outcome)
{
    if (auto idle = takeIdle(address, options))
        co_return idle;
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        outcome.error = endpoint.error().message;
        co_return nullptr;
    }
    auto connection = std::make_unique<Connection>(m_context, m_options.readBufferBytes);
    connection->id = ++m_lastConnection;
    beast::error_code ec;
    if (options.connectTimeout.count() > 0)
        deadline = std::min(deadline, Clock::now() + options.connectTimeout);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        outcome.state
            = ec == asio::error::connection_refused ? ExchangeState::connectionRefused : ExchangeState::notSent;
        outcome.error = ec.message();
        co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    resetOnClose(connection->stream.socket());
    if (m_options.tcpUserTimeout.count() > 0)
        setUserTimeout(connection->stream.socket(), m_options.tcpUserTimeout);
    if (m_options.rejectionWindow.count() > 0) {
        bool isOpen = co_await remainsOpen(*connection);
        if (!isOpen) {
            outcome.state = ExchangeState::connectionRejected;
            outcome.error = "the server closed the new connection before the request was sent";
            co_return nullptr;
        }
    }
    co_return connection;
}

// A server at its connection limit accepts new connections and resets them. If that happens before a byte of the
// request is written, the request has certainly not run; afterwards this is unknown.
asio::awaitable<bool> HttpClient::remainsOpen(Connection& connection)
{
    asio::steady_timer timer(m_context, m_options.rejectionWindow);
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return hasNoPendingData(connection);
}

// Draws memory for a response that holds `bytes` in total.
bool HttpClient::draw(Connection& connection, std::uint64_t bytes, Exchange& outcome) const
{
    if (!outcome.lease || bytes <= undrawnBytes + connection.drawn)
        return true;
    auto steps = (bytes - undrawnBytes + drawStepBytes - 1) / drawStepBytes;
    if (m_options.mayExceedBudget) {
        outcome.lease->record(steps * drawStepBytes);
    } else if (!outcome.lease->resize(steps * drawStepBytes)) {
        outcome.error = "no memory for the response";
        return false;
    }
    connection.drawn = steps * drawStepBytes;
    return true;
}

// Draws the memory that a response may hold after another read, and enlarges a read buffer that is full. A body of
// unknown length is copied into a buffer of twice the size when it grows.
beast::error_code HttpClient::prepareRead(Connection& connection, const ResponseParser& parser, Exchange& outcome) const
{
    auto& buffer = connection.buffer;
    auto capacity = std::max(buffer.capacity(), m_options.readBufferBytes);
    if (buffer.size() == capacity)
        capacity = std::min(buffer.max_size(), 2 * capacity);
    if (buffer.size() == capacity)
        return make_error_code(http::error::buffer_overflow);
    std::uint64_t body = 0;
    if (parser.is_header_done()) {
        auto length = parser.content_length();
        body = length ? *length : 2 * (parser.get().body().size() + capacity);
    }
    if (!draw(connection, capacity + parser.headerMemory() + body, outcome))
        return make_error_code(boost::system::errc::not_enough_memory);
    buffer.reserve(capacity);
    return {};
}

// Returns without an error at the end of the stream if that completes the response.
asio::awaitable<beast::error_code> HttpClient::readSome(
    Connection& connection, ResponseParser& parser, Exchange& outcome)
{
    auto& buffer = connection.buffer;
    auto ec = prepareRead(connection, parser, outcome);
    if (ec)
        co_return ec;
    auto n = co_await connection.stream.async_read_some(
        buffer.prepare(buffer.capacity() - buffer.size()), asio::redirect_error(asio::use_awaitable, ec));
    buffer.commit(n);
    if (outcome.lease && connection.isReceiving)
        outcome.lease->noteProgress(n);
    if (ec != asio::error::eof)
        co_return ec;
    if (!parser.got_some())
        co_return make_error_code(http::error::end_of_stream);
    parser.put_eof(ec);
    co_return ec;
}

// http::async_read_some() goes on reading while a field or a chunk's header is incomplete; here, memory is drawn before
// each read.
asio::awaitable<beast::error_code> HttpClient::readMessage(
    Connection& connection, ResponseParser& parser, Clock::time_point deadline, Exchange& outcome)
{
    parser.body_limit(m_options.bodyLimit);
    parser.eager(true);
    parser.setMayGrow([&](std::uint64_t headerMemory) {
        return draw(connection, connection.buffer.capacity() + headerMemory + parser.get().body().size(), outcome);
    });
    bool needsData = connection.buffer.size() == 0;
    while (!parser.is_done()) {
        beast::error_code ec;
        if (needsData)
            ec = co_await readSome(connection, parser, outcome);
        if (ec || parser.is_done())
            co_return ec;
        connection.buffer.consume(parser.put(connection.buffer.data(), ec));
        needsData = ec == http::error::need_more || connection.buffer.size() == 0;
        if (ec && ec != http::error::need_more)
            co_return ec;
        if (parser.is_header_done()) {
            if (!isFramingClear(parser.get(), parser.get().version()))
                co_return make_error_code(http::error::bad_transfer_encoding);
            if (!isStatusDefined(parser.get().result_int()))
                co_return make_error_code(http::error::bad_status);
            // Only a response that has begun can be stalled: a server may work on a request for as long as it likes.
            if (outcome.lease && !connection.isReceiving && !parser.is_done()) {
                outcome.lease->setPhase(BufferBudget::Phase::transfer);
                connection.isReceiving = true;
            }
        }
        // The stream's own timeout ends only a read that finds no data.
        if (!parser.is_done() && Clock::now() >= deadline)
            co_return beast::error_code(beast::error::timeout);
    }
    co_return beast::error_code();
}

asio::awaitable<beast::error_code> HttpClient::readResponse(Connection& connection, const std::string& idHeader,
    const std::string& id, Clock::time_point deadline, Exchange& outcome)
{
    for (int strays = 0; strays <= maxStrayResponses; ++strays) {
        ResponseParser parser(maxHeaderBytes);
        auto ec = co_await readMessage(connection, parser, deadline, outcome);
        if (ec)
            co_return ec;
        // A response without a length ends only with an orderly close of the connection; a reset is an error above.
        if (parser.need_eof() && !m_options.acceptCloseDelimited) {
            outcome.error = "the response has neither a length nor chunked encoding";
            co_return make_error_code(http::error::partial_message);
        }
        auto memory = parser.headerMemory() + parser.get().body().size();
        auto response = parser.release();
        bool isInterim = response.result_int() < 200;
        bool matchesRequest = idHeader.empty() || headerOf(response, idHeader) == id;
        if (matchesRequest && !isInterim) {
            if (outcome.lease)
                outcome.lease->record(memory > undrawnBytes ? memory - undrawnBytes : 0);
            outcome.response = std::move(response);
            co_return ec;
        }
        outcome.error = "the response belongs to another request";
        if (outcome.lease && connection.isReceiving)
            outcome.lease->setPhase(BufferBudget::Phase::processing);
        connection.isReceiving = false;
    }
    co_return make_error_code(http::error::unexpected_body);
}

template <typename Body>
asio::awaitable<beast::error_code> HttpClient::writeRequest(
    Connection& connection, const http::request<Body>& request, Exchange& outcome)
{
    beast::error_code ec;
    auto written
        = co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, ec));
    outcome.state = written > 0 ? ExchangeState::incomplete : ExchangeState::notSent;
    connection.isRequestSent = !ec;
    co_return ec;
}

asio::awaitable<void> HttpClient::sendAndReceive(Connection& connection, Request& request,
    const ExchangeOptions& options, Clock::time_point deadline, Exchange& outcome)
{
    beast::error_code ec;
    auto id = options.idHeader.empty() ? std::string() : headerOf(request, options.idHeader);
    if (options.body) {
        http::request<BlockBody> message(std::move(request.base()), options.body);
        message.prepare_payload();
        ec = co_await writeRequest(connection, message, outcome);
    } else {
        ec = co_await writeRequest(connection, request, outcome);
    }
    if (!ec)
        ec = co_await readResponse(connection, options.idHeader, id, deadline, outcome);
    if (!ec) {
        outcome.state = ExchangeState::answered;
        co_return;
    }
    if (isAborted(options))
        outcome.error = "the exchange was aborted";
    if (connection.isEnded)
        outcome.error = "the response made no progress, and its memory was needed";
    if (outcome.error.empty())
        outcome.error = ec.message();
    if (ec == beast::error::timeout && outcome.state == ExchangeState::incomplete)
        outcome.state = ExchangeState::timedOut;
}

asio::awaitable<Exchange> HttpClient::exchange(std::string address, Request request, std::chrono::microseconds timeout)
{
    ExchangeOptions options;
    options.timeout = timeout;
    co_return co_await exchange(std::move(address), std::move(request), std::move(options));
}

bool HttpClient::isAborted(const ExchangeOptions& options)
{
    return options.abort && options.abort->isCancelled();
}

std::size_t HttpClient::closeOnAbort(Connection& connection, const ExchangeOptions& options)
{
    return options.abort ? options.abort->add([&connection] { connection.stream.close(); }) : 0;
}

std::size_t HttpClient::closeOnCancellation(Connection& connection, const ExchangeOptions& options)
{
    if (!options.cancellation)
        return 0;
    return options.cancellation->add([&connection, uncancellableOnceSent = options.uncancellableOnceSent] {
        bool mustComplete = uncancellableOnceSent && connection.isRequestSent;
        if (!mustComplete)
            connection.stream.close();
    });
}

asio::awaitable<Exchange> HttpClient::exchange(std::string address, Request request, ExchangeOptions options)
{
    auto self = shared_from_this();
    auto deadline = Clock::now() + options.timeout;
    Exchange outcome;
    auto connection = co_await connect(address, options, deadline, outcome);
    if (!connection)
        co_return outcome;
    outcome.wasReused = connection->wasUsed;
    outcome.connection = connection->id;
    auto ended = Cancellation::create();
    if (m_options.budget)
        outcome.lease = std::make_shared<BufferBudget::Lease>(
            m_options.budget->add(BufferBudget::Phase::processing, [ended] { ended->cancel(); }));
    bool isAbandoned = isAborted(options) || (options.cancellation && options.cancellation->isCancelled())
        || (options.mayStillSend && !options.mayStillSend());
    if (isAbandoned) {
        outcome.error = "the request was cancelled before it was sent";
        co_return outcome;
    }
    connection->isRequestSent = false;
    connection->isReceiving = false;
    connection->drawn = 0;
    auto endedId = ended->add([&] {
        connection->isEnded = true;
        connection->stream.close();
    });
    auto callbackId = closeOnCancellation(*connection, options);
    auto abortId = closeOnAbort(*connection, options);
    connection->stream.expires_at(deadline);
    co_await sendAndReceive(*connection, request, options, deadline, outcome);
    ended->remove(endedId);
    if (outcome.state != ExchangeState::answered)
        outcome.lease.reset();
    if (outcome.lease && connection->isReceiving)
        outcome.lease->setPhase(BufferBudget::Phase::processing);
    if (options.cancellation)
        options.cancellation->remove(callbackId);
    if (options.abort)
        options.abort->remove(abortId);
    bool mayReuse
        = outcome.state == ExchangeState::answered && (!options.mayReuse || options.mayReuse(outcome.response));
    if (mayReuse)
        returnToPool(address, std::move(connection), outcome.response);
    co_return outcome;
}

} // namespace acaciagauge::net
