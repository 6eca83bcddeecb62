import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A sound replica: it answers each request after some work, signed, with the id that the request bears. */
final class Replica {
    /** What a replica does with a request. */
    interface Handler {
        /** Answers the request, or closes the socket. */
        void handle(Http.Message request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    private final ServerSocket listener;
    private final Handler handler;
    final String id;

    Replica(String host, String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        listener = new ServerSocket(0, 256, InetAddress.getByName(host));
        daemon(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns a handler that answers with a body of some bytes after some milliseconds. */
    static Handler sound(int workMilliseconds, int bodyBytes) {
        String body = "x".repeat(bodyBytes);
        return (request, socket, out) -> {
            Thread.sleep(workMilliseconds);
            answer(request, out, body);
        };
    }

    static void answer(Http.Message request, OutputStream out, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
            + "\r\nX-Response-Signature: signed\r\nKeep-Alive: timeout=30\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body));
        out.flush();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            }
        } catch (IOException ended) {
            // The process ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 32_768);
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.start().contains(" /healthz ")) answer(request, out, "");
                else handler.handle(request, socket, out);
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has left.
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
