import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A replica that passes each request to a handler, which writes the answer. */
final class ReplicaStandIn {
    /** Answers a request whose head has been read. Returns whether the connection is kept. */
    interface Handler {
        boolean answer(Http.Head head, InputStream in, OutputStream out) throws Exception;
    }

    private final ServerSocket socket;

    ReplicaStandIn(InetAddress address, int receiveBufferBytes, Handler handler) throws IOException {
        socket = new ServerSocket();
        if (receiveBufferBytes > 0) socket.setReceiveBufferSize(receiveBufferBytes);
        socket.bind(new java.net.InetSocketAddress(address, 0), 256);
        Threads.start("replica", () -> {
            while (true) {
                Socket connection = socket.accept();
                Threads.start("replica-connection", () -> serve(connection, handler));
            }
        });
    }

    int port() {
        return socket.getLocalPort();
    }

    private static void serve(Socket connection, Handler handler) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            boolean kept = true;
            while (kept) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                kept = handler.answer(head, in, out);
                out.flush();
            }
        } catch (IOException closed) {
            // The router has closed its connection.
        }
    }

    /** Returns the head of a signed answer to the request. */
    static String signedHead(Http.Head request, String status, String more) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
            + "\r\nX-Response-Signature: signature-of-" + request.header("X-Attempt-Id") + "\r\n" + more + "\r\n";
    }

    /** Writes a complete signed answer with a length. */
    static void writeSigned(Http.Head request, OutputStream out, String status, String body) throws IOException {
        out.write(Http.ascii(signedHead(request, status, "Content-Length: " + body.length() + "\r\n") + body));
    }
}
