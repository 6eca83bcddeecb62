import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A replica crashes in the middle of an answer that has no length, before it has read the whole body of the request. The
 * client must not get the half as a complete answer.
 *
 * The first request is for comparison: its body fits into the buffers of the connection, so the router has nothing left
 * to send when the replica crashes. During the second request it has.
 */
final class ResetWhileSending {
    static final String FIRST_HALF = "{\"stages\":[\"heat to 240\",\"steam\",";
    static final String SECOND_HALF = "\"lower to 190\",\"vent\"]}";
    private static final int REPLICAS = 4;
    private static final int SMALL_BODY_BYTES = 200_000;
    private static final int LARGE_BODY_BYTES = 4_000_000;
    private static final int TIMEOUT_MILLISECONDS = 10_000;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments, ResetWhileSending::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        deployment.configure(
            Deployment.route("small", "non_idempotent", "small-plans", TIMEOUT_MILLISECONDS, 1, "") + ","
                + Deployment.route("large", "non_idempotent", "large-plans", TIMEOUT_MILLISECONDS, 1, ""),
            Deployment.service("small-plans") + "," + Deployment.service("large-plans"));
        boolean smallHeld = holds(deployment, "small", SMALL_BODY_BYTES);
        boolean largeHeld = holds(deployment, "large", LARGE_BODY_BYTES);
        return smallHeld && largeHeld;
    }

    private static boolean holds(Deployment deployment, String name, int bodyBytes) throws Exception {
        LinkedBlockingQueue<Integer> halfSentBy = new LinkedBlockingQueue<>();
        List<Process> replicas = new ArrayList<>();
        List<boolean[]> registrations = new ArrayList<>();
        for (int number = 0; number < REPLICAS; number++) {
            int index = number;
            Process replica = deployment.launchStandIn("EarlyReplica", deployment.address.getHostAddress());
            BufferedReader lines = new BufferedReader(new InputStreamReader(replica.getInputStream()));
            int port = Integer.parseInt(lines.readLine().split(" ")[1]);
            replicas.add(replica);
            registrations.add(deployment.register("i-" + name + "-" + number, name + "-plans", port));
            Threads.start("replica-lines", () -> {
                if (lines.readLine() != null) halfSentBy.add(index);
            });
        }
        if (deployment.router() == null) deployment.startRouter(); else Thread.sleep(2_500);
        CompletableFuture<Http.Response> answer = CompletableFuture.supplyAsync(() -> deployment.call(
            deployment.callerPort, "POST", "/" + name + "/new",
            "X-Attempt-Id: " + name + "-1\r\nX-Deadline-Ms: " + TIMEOUT_MILLISECONDS
                + "\r\nAuthorization: Bearer key-of-bakery\r\n",
            new byte[bodyBytes], TIMEOUT_MILLISECONDS + 1_000));
        deployment.note("the client sends " + name + "-1 with " + bodyBytes + " bytes");
        int chosen = halfSentBy.take();
        deployment.note("replica " + chosen + " has sent the first half of its answer");
        if (deployment.trouble) {
            Thread.sleep(500);
            registrations.get(chosen)[0] = false;
            replicas.get(chosen).destroyForcibly().waitFor();
            deployment.note("replica " + chosen + " has crashed (SIGKILL) with a part of the body unread, which resets the connection");
        }
        Http.Response received = answer.get(TIMEOUT_MILLISECONDS + 2_000, TimeUnit.MILLISECONDS);
        boolean whole = received.text().equals(FIRST_HALF + SECOND_HALF);
        deployment.note("the client gets " + received.status() + ", signature " + received.header("X-Response-Signature")
            + ", length " + received.header("Content-Length") + ", body: " + received.text().trim());
        if (!deployment.trouble && !whole) throw new IllegalStateException("no whole answer without trouble");
        return received.status() != 200 || whole;
    }
}
