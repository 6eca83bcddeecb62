import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * One of a tenant's two keys is taken away. A connected client sends HEAD with it, and then an order with the other key
 * on the same connection. The answer to HEAD must have no body, or the client takes its bytes for the start of the next
 * answer.
 */
final class HeadRefusal {
    private static int requests = 0;
    private static final int DEADLINE_MILLISECONDS = 1_000;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments, HeadRefusal::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        ReplicaStandIn.Handler handler = (head, in, out) -> {
            Http.readExactly(in, head.length());
            if (head.method().equals("HEAD")) {
                out.write(Http.ascii(ReplicaStandIn.signedHead(head, "200 OK", "Content-Length: 21\r\n")));
            } else {
                ReplicaStandIn.writeSigned(head, out, "200 OK", "{\"temperature\":\"240\"}");
            }
            return true;
        };
        ReplicaStandIn ovens = new ReplicaStandIn(deployment.address, 0, (head, in, out) -> {
            deployment.note("the replica runs " + head.header("X-Attempt-Id"));
            return handler.answer(head, in, out);
        });
        deployment.register("i-oven", "ovens", ovens.port());
        String routes = Deployment.route("oven", "idempotent", "ovens", DEADLINE_MILLISECONDS, 2, "") + ","
            + Deployment.route("start", "non_idempotent", "ovens", DEADLINE_MILLISECONDS, 1, "");
        deployment.configure(7, routes, Deployment.service("ovens"), "\"first-key\",\"second-key\"");
        deployment.startRouter();
        try (Socket socket = deployment.connect(deployment.callerPort, DEADLINE_MILLISECONDS + 1_000)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            exchange(deployment, in, out, "HEAD", "/oven/state", "first-key", 200);
            if (deployment.trouble) {
                deployment.configure(9, routes, Deployment.service("ovens"), "\"second-key\"");
                deployment.note("the first key is taken away");
                Thread.sleep(2_500);
            }
            Http.Response refused = exchange(deployment, in, out, "HEAD", "/oven/state", "first-key", deployment.trouble ? 401 : 200);
            if ("close".equalsIgnoreCase(refused.header("Connection"))) return true;
            return exchange(deployment, in, out, "POST", "/start/batch", "second-key", 0).status() == 200;
        }
    }

    /** Sends a request and reads its answer. Throws if the answer has not the status expected; 0 expects any. */
    private static Http.Response exchange(
        Deployment deployment, InputStream in, OutputStream out, String method, String path, String key, int expected)
        throws IOException {
        out.write(Http.ascii(method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + method
            + "-" + ++requests + "\r\nX-Deadline-Ms: " + DEADLINE_MILLISECONDS + "\r\nAuthorization: Bearer " + key + "\r\n\r\n"));
        out.flush();
        Http.Response answer;
        try {
            answer = Http.readResponse(in, method);
        } catch (java.net.SocketTimeoutException problem) {
            throw problem;
        } catch (IOException problem) {
            answer = Http.Response.problem(problem.getMessage());
        }
        deployment.note("the client's " + method + " " + path + " with " + key + ": " + answer.status() + " " + answer.text());
        if (expected != 0 && answer.status() != expected) throw new IOException("not the status expected");
        return answer;
    }
}
