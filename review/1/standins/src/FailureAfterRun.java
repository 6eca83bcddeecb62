import java.util.concurrent.atomic.AtomicInteger;

/**
 * One replica of eight fails every third of its runs and answers them with 503. Without X-Not-Executed that does not say
 * that the request has not run, but to a client the status promises it. The requests may not be repeated.
 */
final class FailureAfterRun {
    private static final int REPLICAS = 8;
    private static final int REQUESTS = 120;
    private static final int PAUSE_MILLISECONDS = 40;
    private static final int DEADLINE_MILLISECONDS = 1_000;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments, FailureAfterRun::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        for (int number = 0; number < REPLICAS; number++) {
            boolean first = number == 0;
            AtomicInteger runsHere = new AtomicInteger();
            ReplicaStandIn replica = new ReplicaStandIn(deployment.address, 0, (head, in, out) -> {
                Http.readExactly(in, head.length());
                runs.incrementAndGet();
                boolean fails = deployment.trouble && first && runsHere.incrementAndGet() % 3 == 0;
                deployment.note("a replica runs " + head.header("X-Attempt-Id") + (fails ? ", which fails" : ""));
                ReplicaStandIn.writeSigned(head, out, fails ? "503 Service Unavailable" : "200 OK", "{}");
                return true;
            });
            deployment.register("i-oven-" + number, "ovens", replica.port());
        }
        deployment.configure(
            Deployment.route("start", "non_idempotent", "ovens", DEADLINE_MILLISECONDS, 1, ""),
            Deployment.service("ovens"));
        deployment.startRouter();
        int promises = 0;
        for (int request = 0; request < REQUESTS; request++) {
            Thread.sleep(PAUSE_MILLISECONDS);
            int before = runs.get();
            String id = "start-" + request;
            Http.Response answer = deployment.call(deployment.callerPort, "POST", "/start/batch", "X-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + DEADLINE_MILLISECONDS + "\r\nAuthorization: Bearer key-of-bakery\r\n",
                new byte[10], DEADLINE_MILLISECONDS + 500);
            boolean promise = answer.status() == 503 || answer.status() == 429;
            boolean broken = promise && runs.get() > before;
            if (answer.status() != 200) deployment.note("the client gets " + answer.status() + " for " + id
                + ", signature " + answer.header("X-Response-Signature"));
            if (broken) promises++;
        }
        deployment.note("requests that have run and were answered 503 or 429: " + promises + " of " + REQUESTS);
        return promises == 0;
    }
}
