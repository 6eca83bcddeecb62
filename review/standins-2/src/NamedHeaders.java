import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A small crowd sends requests of legal size made of very many short header lines, with a Connection line that names
 * very many short headers. Ordinary requests must be answered no later than half a second after their route's timeout.
 */
public final class NamedHeaders {
    private static final int MACHINES = 2;
    private static final int CLIENTS = 60;
    private static final int TIMEOUT_MILLISECONDS = 1_500;
    private static final int SLACK_MILLISECONDS = 500;
    private static final int HEADER_BYTES = 16_384;
    private static final int SECONDS = 30;

    /** As in the rule: eight or more, and over a quarter, of the requests that last longer than the timeout. */
    private static final int FEWEST_UNANSWERED = 8;

    private static final AtomicLong hostileSent = new AtomicLong();
    private static final AtomicLong hostileServed = new AtomicLong();
    private static final AtomicLong hostileMilliseconds = new AtomicLong();
    private static final AtomicInteger ordinarySent = new AtomicInteger();
    private static final AtomicInteger ordinaryServed = new AtomicInteger();
    private static final AtomicInteger beyondTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment deployment = new Deployment(arguments[0])) {
            deployment.store.write("keyed.op", "config",
                Deployment.configuration(1, TIMEOUT_MILLISECONDS, HEADER_BYTES));
            for (int number = 0; number < 2; number++) {
                Replica replica = new Replica("127.0.0.1", "replica-" + number, Replica.sound(20, 800));
                deployment.list(replica, "ledger", "zone-" + number);
            }
            deployment.startMachines(MACHINES);
            for (Deployment.Machine machine : deployment.machines) {
                for (int client = 0; client < 5; client++) {
                    String name = machine.ip + "-ordinary-" + client;
                    Replica.daemon(() -> ordinaryClient(deployment, machine, name));
                }
            }
            TimeUnit.SECONDS.sleep(5);
            deployment.note("ordinary requests before the crowd: " + ordinaryServed + " of " + ordinarySent + " served");
            int sentBefore = ordinarySent.get();
            int servedBefore = ordinaryServed.get();
            if (trouble) {
                String head = head();
                for (int client = 0; client < CLIENTS; client++) {
                    Deployment.Machine machine = deployment.machines.get(client % MACHINES);
                    String name = machine.ip + "-crowd-" + client;
                    Replica.daemon(() -> hostileClient(machine, name, head));
                }
            }
            for (int second = 5; second <= SECONDS; second += 5) {
                TimeUnit.SECONDS.sleep(5);
                deployment.note("the crowd sent " + hostileSent + ", " + hostileServed + " served in "
                    + hostileMilliseconds.get() / Math.max(1, hostileServed.get()) + " ms on average; ordinary: "
                    + (ordinarySent.get() - sentBefore) + " sent, " + (ordinaryServed.get() - servedBefore)
                    + " served, " + beyondTimeout + " not answered at the timeout, " + unanswered
                    + " not answered half a second later");
            }
            boolean broken = unanswered.get() >= FEWEST_UNANSWERED && unanswered.get() * 4 > beyondTimeout.get();
            deployment.note(broken ? "the rule was broken" : "the rule held");
            deployment.close();
            System.exit(broken ? Deployment.BROKEN : Deployment.HELD);
        } catch (Exception problem) {
            problem.printStackTrace();
            System.exit(Deployment.NOT_RUN);
        }
    }

    private static String start(String id) {
        return "GET /look/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + Deployment.KEY + "\r\n";
    }

    /** Returns header lines that fill half of what a head may have, and a line that names headers in the other half. */
    private static String head() {
        StringBuilder lines = new StringBuilder("Connection: ");
        while (lines.length() < HEADER_BYTES / 2 - 200) lines.append("a,");
        lines.append("a\r\n");
        while (lines.length() < HEADER_BYTES - 500) lines.append("b:\r\n");
        return lines.append("\r\n").toString();
    }

    private static void hostileClient(Deployment.Machine machine, String name, String head) {
        for (int number = 0; ; number++) {
            try (Socket socket = machine.connect()) {
                socket.setSoTimeout(30_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    long sentAt = System.nanoTime();
                    socket.getOutputStream().write(Http.bytes(start(name + "-" + number++) + head));
                    hostileSent.incrementAndGet();
                    Http.Message answer = Http.read(in);
                    if (answer == null) break;
                    if (answer.status() == 200) {
                        hostileServed.incrementAndGet();
                        hostileMilliseconds.addAndGet((System.nanoTime() - sentAt) / 1_000_000);
                    }
                }
            } catch (IOException ended) {
                pause(100);
            }
        }
    }

    private static void ordinaryClient(Deployment deployment, Deployment.Machine machine, String name) {
        for (int number = 0; ; number++) {
            String id = name + "-" + number;
            long sentAt = System.nanoTime();
            ordinarySent.incrementAndGet();
            try (Socket socket = machine.connect()) {
                socket.setSoTimeout(TIMEOUT_MILLISECONDS);
                socket.getOutputStream().write(Http.bytes(start(id) + "\r\n"));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer;
                try {
                    answer = Http.read(in);
                } catch (java.net.SocketTimeoutException late) {
                    beyondTimeout.incrementAndGet();
                    socket.setSoTimeout(SLACK_MILLISECONDS);
                    try {
                        answer = Http.read(in);
                    } catch (java.net.SocketTimeoutException later) {
                        unanswered.incrementAndGet();
                        deployment.note("no answer to " + id + " after "
                            + (System.nanoTime() - sentAt) / 1_000_000 + " ms");
                        answer = null;
                    }
                }
                if (answer != null && answer.status() == 200) ordinaryServed.incrementAndGet();
            } catch (IOException notConnected) {
                // Counted as sent only.
            }
            pause(100);
        }
    }

    private static void pause(int milliseconds) {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
