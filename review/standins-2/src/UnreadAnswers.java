import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A few clients that nobody controls send requests one after the other on their connections, and don't read the
 * answers. Without the disruption they read them. A router must not end by itself.
 */
public final class UnreadAnswers {
    private static final int MACHINES = 2;
    private static final int CLIENTS = 4;
    private static final int BODY_BYTES = 4_800;
    private static final int ENDS_THAT_BREAK_THE_RULE = 3;
    /** Links have small windows. */
    private static final int WINDOW_BYTES = 16_384;
    private static final int SECONDS = 100;
    private static final AtomicLong sent = new AtomicLong();
    private static final AtomicLong answered = new AtomicLong();
    private static final AtomicLong ordinarySent = new AtomicLong();
    private static final AtomicLong ordinaryServed = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment deployment = new Deployment(arguments[0])) {
            deployment.store.write("keyed.op", "config", Deployment.configuration(1, 2_000, 16_384));
            AtomicLong run = new AtomicLong();
            Replica.Handler sound = Replica.sound(1, BODY_BYTES);
            for (int number = 0; number < 2; number++) {
                Replica replica = new Replica("127.0.0.1", "replica-" + number, (request, socket, out) -> {
                    run.incrementAndGet();
                    sound.handle(request, socket, out);
                });
                deployment.list(replica, "ledger", "zone-" + number);
            }
            deployment.startMachines(MACHINES);
            for (Deployment.Machine machine : deployment.machines) {
                for (int client = 0; client < CLIENTS; client++) {
                    String name = machine.ip + "-" + client;
                    Replica.daemon(() -> hostileClient(machine, name, trouble));
                }
                Replica.daemon(() -> ordinaryClient(machine));
            }
            boolean broken = false;
            for (int second = 1; second <= SECONDS && !broken; second++) {
                TimeUnit.SECONDS.sleep(1);
                if (second % 5 == 0) {
                    StringBuilder peaks = new StringBuilder();
                    deployment.machines.forEach(one -> peaks.append(' ').append(one.peakMegabytes()));
                    deployment.note("clients sent " + sent + " requests, read " + answered + " answers; replicas ran "
                        + run + "; ordinary " + ordinaryServed + " of " + ordinarySent + " served; peak MB" + peaks);
                }
                broken = deployment.machines.stream().allMatch(one -> one.ownEnds >= ENDS_THAT_BREAK_THE_RULE);
            }
            for (Deployment.Machine machine : deployment.machines) {
                deployment.note("the process on " + machine.ip + " has ended by itself " + machine.ownEnds + " times");
            }
            deployment.note(broken ? "the rule was broken" : "the rule held");
            deployment.close();
            System.exit(broken ? Deployment.BROKEN : Deployment.HELD);
        } catch (Exception problem) {
            problem.printStackTrace();
            System.exit(Deployment.NOT_RUN);
        }
    }

    private static String request(String id) {
        return "GET /look/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " + Deployment.KEY + "\r\n\r\n";
    }

    private static void hostileClient(Deployment.Machine machine, String name, boolean trouble) {
        for (long number = 0; ; ) {
            try (Socket socket = machine.connect(WINDOW_BYTES)) {
                OutputStream out = socket.getOutputStream();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    out.write(Http.bytes(request(name + "-" + number++)));
                    sent.incrementAndGet();
                    if (!trouble && Http.read(in) != null) answered.incrementAndGet();
                }
            } catch (IOException ended) {
                pause(500);
            }
        }
    }

    private static void ordinaryClient(Deployment.Machine machine) {
        for (long number = 0; ; number++) {
            ordinarySent.incrementAndGet();
            try (Socket socket = machine.connect()) {
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write(Http.bytes(request("ordinary-" + machine.ip + "-" + number)));
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.status() == 200) ordinaryServed.incrementAndGet();
            } catch (IOException unanswered) {
                // Counted as sent only.
            }
            pause(200);
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
