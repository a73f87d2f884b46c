#include "net/http_session.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <utility>

namespace acaciagauge::net {

using asio::ip::tcp;

namespace {

    constexpr std::size_t readChunkBytes = 4096;

    /// A request is copied when it is sent to a server, and kept for further attempts.
    constexpr std::uint64_t copiesOfHeader = 2;

    /// Time that the caller has to close its side after the last response.
    constexpr auto lingerTime = std::chrono::seconds(2);

    /// A request may still be in transit on a connection that has been idle for less than this: a few round trips.
    constexpr auto requestTransitTime = std::chrono::milliseconds(100);

    /// Retry-After of a request that does not fit into the budget: stalled transfers can be ended after this time.
    constexpr auto noMemoryRetryAfter = "1";

    bool isOutOfMemory(beast::error_code ec)
    {
        return ec == boost::system::errc::not_enough_memory;
    }

    /// Returns the memory of a response beyond that of an ordinary header, which the budget's share of its request
    /// covers.
    std::uint64_t memoryOf(const Response& response)
    {
        constexpr std::uint64_t ordinaryHeaderBytes = 4096;
        auto header = fieldMemoryOf(response);
        return response.body().size() + (header > ordinaryHeaderBytes ? header : 0);
    }

    Response noMemoryResponse()
    {
        auto response
            = makeResponse(503, R"({"code":306,"name":"queueFull","message":"no memory for the request at present"})");
        response.set(http::field::retry_after, noMemoryRetryAfter);
        response.set("X-Acaciagauge-Outcome", "notRun");
        response.set("X-Acaciagauge-Code", "306");
        response.keep_alive(false);
        return response;
    }

    Response errorResponse(beast::error_code ec)
    {
        if (isOutOfMemory(ec))
            return noMemoryResponse();
        unsigned status = 400;
        if (ec == http::error::body_limit)
            status = 413;
        if (ec == http::error::header_limit)
            status = 431;
        auto body = "{\"code\":501,\"name\":\"malformedRequest\",\"message\":\"" + ec.message() + "\"}";
        auto response = makeResponse(status, body);
        response.set("X-Acaciagauge-Outcome", "notRun");
        response.set("X-Acaciagauge-Code", "501");
        response.keep_alive(false);
        return response;
    }

    bool isProtocolError(beast::error_code ec)
    {
        bool isClosed = ec == http::error::end_of_stream || ec == http::error::partial_message;
        return !isClosed && ec.category() == make_error_code(http::error::bad_method).category();
    }

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServer> server, tcp::socket socket)
    : m_server(std::move(server))
    , m_socket(std::move(socket))
    , m_responseReady(m_socket.get_executor(), Clock::time_point::max())
    , m_slotFreed(m_socket.get_executor(), Clock::time_point::max())
    , m_phaseSince(Clock::now())
    , m_lastWrite(m_phaseSince)
{
    m_server->m_sessions.insert(this);
}

HttpSession::~HttpSession()
{
    m_server->m_sessions.erase(this);
}

std::shared_ptr<HttpSession> HttpSession::create(std::shared_ptr<HttpServer> server, tcp::socket socket)
{
    return std::shared_ptr<HttpSession>(new HttpSession(std::move(server), std::move(socket)));
}

void HttpSession::start()
{
    auto self = shared_from_this();
    m_connectionLease = addLease(BufferBudget::Phase::processing);
    auto executor = m_socket.get_executor();
    asio::co_spawn(executor, readLoop(), [self](std::exception_ptr) {});
    asio::co_spawn(executor, writeLoop(), [self](std::exception_ptr) {});
}

void HttpSession::enterPhase(Phase phase)
{
    m_phase = phase;
    m_phaseSince = Clock::now();
}

void HttpSession::closeIfIdle()
{
    boost::system::error_code ec;
    // A request that has arrived, or may be in transit on a new or recently used connection, is read and answered.
    bool mayHaveRequest = m_socket.available(ec) > 0 || Clock::now() - m_phaseSince < requestTransitTime;
    if (m_calls.empty() && m_phase == Phase::idle && !mayHaveRequest)
        close();
}

void HttpSession::closeIfOverdue(Clock::time_point now)
{
    auto limits = m_server->limits();
    auto elapsed = now - m_phaseSince;
    bool isOverdue = false;
    switch (m_phase) {
    case Phase::idle:
        isOverdue = m_calls.empty() && elapsed > limits.idleTimeout;
        break;
    case Phase::header:
        isOverdue = elapsed > limits.headerTimeout;
        break;
    case Phase::body:
        isOverdue = elapsed > limits.headerTimeout + limits.idleTimeout;
        break;
    case Phase::closing:
        isOverdue = m_calls.empty() && elapsed > lingerTime;
        break;
    }
    bool isUnread = m_server->m_options.budget && m_isWriting && now - m_lastWrite > limits.idleTimeout;
    if (isOverdue || isUnread)
        close();
}

// Cancels the calls in progress: nobody reads their responses any more.
void HttpSession::close()
{
    m_isClosed = true;
    m_acceptsRequests = false;
    // Calls in progress keep themselves; the others give back their responses.
    auto calls = std::exchange(m_calls, {});
    m_responseBytes = 0;
    recordHeldBytes();
    for (auto& it : calls)
        it->cancellation->cancel();
    beast::error_code ec;
    m_socket.close(ec);
    m_responseReady.cancel();
    m_slotFreed.cancel();
}

// Reads ahead while it waits; otherwise a disconnect would not be noticed before the first response.
asio::awaitable<void> HttpSession::waitForPipelineSlot()
{
    using namespace asio::experimental::awaitable_operators;
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    while (!m_isClosed && m_calls.size() >= m_server->m_options.maxPipelined) {
        bool mayReadAhead = m_buffer.size() + readChunkBytes <= m_buffer.max_size();
        if (!mayReadAhead) {
            co_await m_slotFreed.async_wait(asTuple);
            continue;
        }
        auto first = co_await (m_socket.async_wait(tcp::socket::wait_read, asTuple) || m_slotFreed.async_wait(asTuple));
        bool isReadable = first.index() == 0;
        if (isReadable && !m_isClosed && !readAhead())
            close();
    }
}

// Returns false if the connection has ended.
bool HttpSession::readAhead()
{
    beast::error_code ec;
    m_socket.non_blocking(true, ec);
    auto n = m_socket.read_some(m_buffer.prepare(readChunkBytes), ec);
    m_buffer.commit(n);
    if (!m_connectionLease.resize(heldBytes()))
        return false;
    return !ec || ec == asio::error::would_block;
}

asio::awaitable<bool> HttpSession::waitForFirstByte()
{
    if (m_buffer.size() > 0)
        co_return true;
    enterPhase(Phase::idle);
    if (m_server->m_options.budget && m_buffer.capacity() > readChunkBytes) {
        m_buffer.shrink_to_fit();
        recordHeldBytes();
    }
    beast::error_code ec;
    auto n = co_await m_socket.async_read_some(
        m_buffer.prepare(readChunkBytes), asio::redirect_error(asio::use_awaitable, ec));
    m_buffer.commit(n);
    co_return !ec;
}

void HttpSession::queueErrorResponse(beast::error_code ec)
{
    auto call = std::make_shared<Call>();
    call->response = errorResponse(ec);
    call->keepAlive = false;
    call->isAnswered = true;
    m_acceptsRequests = false;
    m_calls.push_back(std::move(call));
    m_responseReady.cancel();
    if (m_server->m_options.onMalformed && !isOutOfMemory(ec))
        m_server->m_options.onMalformed(ec.message());
}

beast::error_code HttpSession::checkFraming(const http::request_header<>& header, bool isChunked)
{
    if (!isFramingClear(header, header.version()))
        return make_error_code(http::error::bad_transfer_encoding);
    auto length = header[http::field::content_length];
    bool hasBody = isChunked || (!length.empty() && length != "0");
    if (header.method() == http::verb::trace && hasBody)
        return make_error_code(http::error::unexpected_body);
    return {};
}

BufferBudget::Lease HttpSession::addLease(BufferBudget::Phase phase)
{
    if (!m_server->m_options.budget)
        return {};
    return m_server->m_options.budget->add(phase, [weak = weak_from_this()] {
        if (auto session = weak.lock())
            session->close();
    });
}

// Enlarges a read buffer that is full. Memory is drawn before it is used.
asio::awaitable<beast::error_code> HttpSession::readSome(std::uint64_t headerMemory, StoredBody* body)
{
    auto capacity = std::max(m_buffer.capacity(), readChunkBytes);
    if (m_buffer.size() == capacity)
        capacity = std::min(m_buffer.max_size(), 2 * capacity);
    if (m_buffer.size() == capacity)
        co_return make_error_code(http::error::buffer_overflow);
    if (body && !body->drawOverhead(headerMemory + capacity))
        co_return make_error_code(boost::system::errc::not_enough_memory);
    m_buffer.reserve(capacity);
    beast::error_code ec;
    auto n = co_await m_socket.async_read_some(
        m_buffer.prepare(m_buffer.capacity() - m_buffer.size()), asio::redirect_error(asio::use_awaitable, ec));
    m_buffer.commit(n);
    co_return ec;
}

// Reads up to the end of the header or, with `isWhole`, of the message.
template <typename Body>
asio::awaitable<beast::error_code> HttpSession::parse(MessageParser<true, Body>& parser, StoredBody* body, bool isWhole)
{
    parser.eager(isWhole);
    bool needsData = m_buffer.size() == 0;
    while (isWhole ? !parser.is_done() : !parser.is_header_done()) {
        beast::error_code ec;
        if (needsData)
            ec = co_await readSome(copiesOfHeader * parser.headerMemory(), body);
        if (ec == asio::error::eof)
            ec = make_error_code(parser.got_some() ? http::error::partial_message : http::error::end_of_stream);
        if (ec)
            co_return ec;
        m_buffer.consume(parser.put(m_buffer.data(), ec));
        needsData = ec == http::error::need_more || m_buffer.size() == 0;
        if (ec && ec != http::error::need_more)
            co_return ec;
    }
    co_return beast::error_code();
}

template <typename Body>
asio::awaitable<beast::error_code> HttpSession::readMessage(MessageParser<true, Body>& parser, StoredBody* body)
{
    parser.body_limit(m_server->limits().bodyBytes);
    parser.setMayGrow([this, body](std::uint64_t headerMemory) {
        return !body || body->drawOverhead(copiesOfHeader * headerMemory + m_buffer.capacity());
    });
    enterPhase(Phase::header);
    auto ec = co_await parse(parser, body, false);
    if (!ec)
        ec = checkFraming(parser.get().base(), parser.chunked());
    if (!ec && body && !body->reserve(parser.content_length().value_or(0)))
        ec = make_error_code(boost::system::errc::not_enough_memory);
    bool wantsContinue = !ec && m_calls.empty() && headerOf(parser.get(), "Expect") == "100-continue";
    if (wantsContinue) {
        static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_socket, asio::buffer(interim), asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec) {
        enterPhase(Phase::body);
        ec = co_await parse(parser, body, true);
    }
    co_return ec;
}

// Returns false if the connection has ended.
asio::awaitable<bool> HttpSession::readRequest()
{
    auto call = std::make_shared<Call>();
    beast::error_code ec;
    if (m_server->m_options.budget) {
        call->body = StoredBody::create(addLease(BufferBudget::Phase::transfer));
        MessageParser<true, BlockBody> parser(m_server->limits().headerBytes);
        parser.get().body() = call->body;
        if (call->body->reserve(0))
            ec = co_await readMessage(parser, call->body.get());
        else
            ec = make_error_code(boost::system::errc::not_enough_memory);
        call->body->finish();
        // From here on, the read buffer belongs to the next request.
        call->body->drawOverhead(copiesOfHeader * parser.headerMemory());
        recordHeldBytes();
        call->request.base() = std::move(parser.get().base());
    } else {
        MessageParser<true, http::string_body> parser(m_server->limits().headerBytes);
        ec = co_await readMessage(parser, nullptr);
        if (!ec)
            call->request = parser.release();
    }
    if (ec && (isProtocolError(ec) || isOutOfMemory(ec))) {
        queueErrorResponse(ec);
        co_return true;
    }
    if (ec)
        co_return false;
    // A request after the response that closes the connection is ignored, as if it had not been read.
    if (!m_acceptsRequests)
        co_return true;
    startCall(std::move(call));
    co_return true;
}

void HttpSession::startCall(std::shared_ptr<Call> call)
{
    call->keepAlive = call->request.keep_alive();
    m_acceptsRequests = call->keepAlive && !m_server->m_stopped;
    m_calls.push_back(call);
    ++m_server->m_inFlight;
    asio::co_spawn(m_socket.get_executor(), handleCall(std::move(call)), asio::detached);
}

asio::awaitable<void> HttpSession::readLoop()
{
    auto self = shared_from_this();
    while (m_acceptsRequests) {
        co_await waitForPipelineSlot();
        if (!m_acceptsRequests)
            break;
        bool isOpen = co_await waitForFirstByte();
        if (isOpen && m_acceptsRequests)
            isOpen = co_await readRequest();
        if (!isOpen)
            close();
    }
    if (!m_isClosed)
        co_await readUntilClosed();
}

asio::awaitable<void> HttpSession::readUntilClosed()
{
    enterPhase(Phase::closing);
    beast::error_code ec;
    while (!ec) {
        m_buffer.clear();
        co_await m_socket.async_read_some(
            m_buffer.prepare(readChunkBytes), asio::redirect_error(asio::use_awaitable, ec));
    }
    close();
}

asio::awaitable<void> HttpSession::handleCall(std::shared_ptr<Call> call)
{
    auto self = shared_from_this();
    auto& options = m_server->m_options;
    if (options.storedBodyHandler)
        call->response
            = co_await options.storedBodyHandler(std::move(call->request), std::move(call->body), call->cancellation);
    else if (options.cancellableHandler)
        call->response = co_await options.cancellableHandler(std::move(call->request), call->cancellation);
    else
        call->response = co_await options.handler(std::move(call->request));
    call->isAnswered = true;
    call->responseBytes = memoryOf(call->response);
    if (!m_isClosed)
        m_responseBytes += call->responseBytes;
    recordHeldBytes();
    --m_server->m_inFlight;
    m_responseReady.cancel();
}

std::uint64_t HttpSession::heldBytes() const
{
    return m_responseBytes + (m_buffer.capacity() > readChunkBytes ? m_buffer.capacity() : 0);
}

void HttpSession::recordHeldBytes()
{
    m_connectionLease.record(m_isClosed ? 0 : heldBytes());
}

asio::awaitable<beast::error_code> HttpSession::writeResponse(const Response& response)
{
    beast::error_code ec;
    http::response_serializer<http::string_body> serializer(response);
    m_isWriting = true;
    m_lastWrite = Clock::now();
    m_connectionLease.setPhase(BufferBudget::Phase::transfer);
    while (!ec && !serializer.is_done()) {
        auto written
            = co_await http::async_write_some(m_socket, serializer, asio::redirect_error(asio::use_awaitable, ec));
        m_lastWrite = Clock::now();
        m_connectionLease.noteProgress(written);
    }
    m_isWriting = false;
    m_connectionLease.setPhase(BufferBudget::Phase::processing);
    co_return ec;
}

asio::awaitable<void> HttpSession::writeLoop()
{
    auto self = shared_from_this();
    while (!m_isClosed) {
        if (m_calls.empty() || !m_calls.front()->isAnswered) {
            beast::error_code ec;
            co_await m_responseReady.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        auto call = m_calls.front();
        // Requests that were read after this one are in progress, so only the last response may close the connection.
        bool isLast = m_calls.size() == 1 && m_phase != Phase::body;
        bool mayClose = !call->response.keep_alive() || m_server->m_draining || !m_acceptsRequests;
        bool keepAlive = call->keepAlive && !(isLast && mayClose);
        if (!keepAlive)
            m_acceptsRequests = false;
        call->response.keep_alive(keepAlive);
        auto ec = co_await writeResponse(call->response);
        if (!m_calls.empty())
            m_calls.pop_front();
        m_responseBytes -= std::min(m_responseBytes, call->responseBytes);
        recordHeldBytes();
        m_slotFreed.cancel();
        if (ec) {
            close();
        } else if (!keepAlive) {
            m_socket.shutdown(tcp::socket::shutdown_send, ec);
            enterPhase(Phase::closing);
            co_return;
        }
    }
}

} // namespace acaciagauge::net
