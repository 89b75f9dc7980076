#pragma once

#include "snipeferry/net/readmemory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace snipeferry::net {

/** Why a reader gave up a message that is no error of the other end's protocol. */
enum class ReadBound {
    None,
    /** The head of a chunk, or a trailer, does not end. */
    Part,
    /** The unfinished parts of all connections together. */
    Process,
};

/**
 * Reads HTTP messages from a connection, and keeps no more than a bound of what cannot be parsed yet.
 *
 * The library's own reading has no bound on the head of a chunk and on a trailer. Whoever starts a read keeps the reader and its socket alive until the
 * handler is called.
 */
template<bool isRequest>
class MessageReader
{
public:
    using Parser = boost::beast::http::parser<isRequest, boost::beast::http::string_body>;
    using Socket = boost::asio::ip::tcp::socket;
    using ErrorCode = boost::system::error_code;

    /** @param memory null: no bound on all connections together */
    MessageReader(Socket &socket, std::shared_ptr<ReadMemory> memory)
        : m_socket(socket),
          m_memory(std::move(memory))
    {
    }

    ~MessageReader()
    {
        release();
    }

    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /**
     * @brief Begins a message. What was read behind the one before is its beginning.
     * @param maxPartBytes longest head of a chunk and longest trailer; the head has a limit at the parser
     */
    Parser &begin(std::size_t maxPartBytes)
    {
        m_maxPartBytes = maxPartBytes;
        m_bound = ReadBound::None;
        return m_parser.emplace();
    }

    bool hasMessage() const
    {
        return m_parser.has_value();
    }

    Parser &parser()
    {
        return *m_parser;
    }

    void endMessage()
    {
        m_parser.reset();
    }

    /** @brief Reads until the head is complete. @param handler called with the error, never from within this call */
    template<typename Handler>
    void readHead(Handler handler)
    {
        read([this, handler = std::move(handler)](ErrorCode error) mutable {
            if (error || m_parser->is_header_done()) {
                handler(error);
                return;
            }
            readHead(std::move(handler));
        });
    }

    /** @brief Reads until a further part of the message is parsed. @param handler as for readHead() */
    template<typename Handler>
    void readSome(Handler handler)
    {
        read(std::move(handler));
    }

    /** @brief Reads until the message is complete. @param handler as for readHead() */
    template<typename Handler>
    void readAll(Handler handler)
    {
        read([this, handler = std::move(handler)](ErrorCode error) mutable {
            if (error || m_parser->is_done()) {
                handler(error);
                return;
            }
            readAll(std::move(handler));
        });
    }

    /** @brief Lets a read that is in progress end without reading more; its handler gets operation_aborted. */
    void stop()
    {
        m_isStopped = true;
    }

    /** @brief The bound that ended the last read with buffer_overflow. */
    ReadBound bound() const
    {
        return m_bound;
    }

    std::size_t bufferedBytes() const
    {
        return m_buffer.size();
    }

    /** @brief Drops the buffer and its memory. */
    void clear()
    {
        m_buffer = boost::beast::flat_buffer();
        release();
    }

private:
    static constexpr std::size_t MAX_READ_BYTES = 65536;

    template<typename Handler>
    void read(Handler handler)
    {
        if (m_buffer.size() > 0) {
            const ErrorCode error = parse();
            if (error != boost::beast::http::error::need_more) {
                boost::asio::post(m_socket.get_executor(), [error, handler = std::move(handler)]() mutable { handler(error); });
                return;
            }
        }
        readMore(std::move(handler));
    }

    template<typename Handler>
    void readMore(Handler handler)
    {
        const std::size_t size = boost::beast::read_size(m_buffer, MAX_READ_BYTES);
        m_socket.async_read_some(m_buffer.prepare(size), [this, handler = std::move(handler)](ErrorCode error, std::size_t bytes) mutable {
            if (m_isStopped) {
                handler(boost::asio::error::operation_aborted);
                return;
            }
            m_buffer.commit(bytes);
            if (error == boost::asio::error::eof) {
                handler(parseEnd());
                return;
            }
            const ErrorCode result = error ? error : parse();
            if (result == boost::beast::http::error::need_more) {
                readMore(std::move(handler));
            } else {
                handler(result);
            }
        });
    }

    /** The end of the connection is the end of an answer without a length. */
    ErrorCode parseEnd()
    {
        if (!m_parser->got_some()) {
            return boost::beast::http::error::end_of_stream;
        }
        ErrorCode error;
        m_parser->put_eof(error);
        return error;
    }

    /** Parses one part of what has arrived; need_more if it is not complete. */
    ErrorCode parse()
    {
        ErrorCode error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        const bool isUnfinished = error == boost::beast::http::error::need_more;
        const std::size_t waiting = isUnfinished ? m_buffer.size() : 0;
        if (isUnfinished && m_parser->is_header_done() && waiting > m_maxPartBytes) {
            m_bound = ReadBound::Part;
            return boost::beast::http::error::buffer_overflow;
        }
        if (m_memory != nullptr && !m_memory->update(m_counted, waiting)) {
            m_bound = ReadBound::Process;
            return boost::beast::http::error::buffer_overflow;
        }
        m_counted = waiting;
        return error;
    }

    void release()
    {
        if (m_memory != nullptr) {
            m_memory->update(m_counted, 0);
        }
        m_counted = 0;
    }

    Socket &m_socket;
    std::shared_ptr<ReadMemory> m_memory;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::size_t m_maxPartBytes = 0;
    /** Bytes of the unfinished part, as counted at the shared memory. */
    std::size_t m_counted = 0;
    ReadBound m_bound = ReadBound::None;
    bool m_isStopped = false;
};

} // namespace snipeferry::net
