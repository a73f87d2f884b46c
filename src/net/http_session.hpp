#pragma once

#include "net/http_server.hpp"
#include "net/message_parser.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <deque>

namespace acaciagauge::net {

/// @brief A caller's connection: reads requests, runs them concurrently and sends the responses in order.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    using Clock = std::chrono::steady_clock;

    static std::shared_ptr<HttpSession> create(std::shared_ptr<HttpServer> server, asio::ip::tcp::socket socket);
    ~HttpSession();
    HttpSession(const HttpSession&) = delete;
    HttpSession& operator=(const HttpSession&) = delete;

    /// @brief Starts reading requests and writing responses.
    void start();

    /// @brief Returns true if a request has been read whose response has not been written yet.
    [[nodiscard]] bool hasPendingResponses() const { return !m_calls.empty() && !m_isClosed; }

    /// @brief Closes the connection if no request is in progress on it.
    void closeIfIdle();

    /// @brief Closes the connection if its current phase has exceeded its time limit.
    void closeIfOverdue(Clock::time_point now);

private:
    /// A request and, once it is answered, its response.
    struct Call {
        Request request;
        std::shared_ptr<StoredBody> body; ///< Null without a budget; the request itself has the body then.
        Response response;
        std::uint64_t responseBytes = 0; ///< That the response counts in the budget.
        bool isAnswered = false;
        bool keepAlive = true;
        std::shared_ptr<Cancellation> cancellation = Cancellation::create();
    };

    enum class Phase {
        idle, ///< Waits for the first byte of a request.
        header,
        body,
        closing, ///< Discards input: closing with unread input would reset the connection and could lose the response.
    };

    HttpSession(std::shared_ptr<HttpServer> server, asio::ip::tcp::socket socket);
    asio::awaitable<void> readLoop();
    asio::awaitable<bool> readRequest();
    template <typename Body>
    asio::awaitable<beast::error_code> readMessage(MessageParser<true, Body>& parser, StoredBody* body);
    template <typename Body>
    asio::awaitable<beast::error_code> parse(MessageParser<true, Body>& parser, StoredBody* body, bool isWhole);
    asio::awaitable<beast::error_code> readSome(std::uint64_t headerMemory, StoredBody* body);
    void startCall(std::shared_ptr<Call> call);
    BufferBudget::Lease addLease(BufferBudget::Phase phase);
    asio::awaitable<beast::error_code> writeResponse(const Response& response);
    [[nodiscard]] std::uint64_t heldBytes() const;
    void recordHeldBytes();
    static beast::error_code checkFraming(const http::request_header<>& header, bool isChunked);
    asio::awaitable<bool> waitForFirstByte();
    asio::awaitable<void> waitForPipelineSlot();
    bool readAhead();
    asio::awaitable<void> readUntilClosed();
    asio::awaitable<void> writeLoop();
    asio::awaitable<void> handleCall(std::shared_ptr<Call> call);
    void queueErrorResponse(beast::error_code ec);
    void enterPhase(Phase phase);
    void close();

    std::shared_ptr<HttpServer> m_server;
    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer { maxReadAheadBytes };
    std::deque<std::shared_ptr<Call>> m_calls; ///< In the order of their requests.
    asio::steady_timer m_responseReady; ///< Cancelled when a call is answered or the connection closed.
    asio::steady_timer m_slotFreed; ///< Cancelled when a response is written or the connection closed.
    Phase m_phase = Phase::idle;
    Clock::time_point m_phaseSince;
    BufferBudget::Lease m_connectionLease; ///< For m_buffer, and the responses that have not been written.
    std::uint64_t m_responseBytes = 0;
    bool m_isWriting = false;
    Clock::time_point m_lastWrite; ///< When the caller last took bytes of the response that is being written.
    bool m_isClosed = false; ///< By the caller, or by this side.
    bool m_acceptsRequests = true; ///< Further requests are read.
};

} // namespace acaciagauge::net
