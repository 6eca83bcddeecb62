import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The platform's store: keyed topics with one partition, and groups. Always up, and keeps all records. */
final class StoreStandIn {
    private static final int PARTS = 8;

    private record Entry(String key, byte[] value) {
    }

    private static final class Group {
        long generation = 0;
        final TreeSet<String> members = new TreeSet<>();
        final Map<String, Long> aliveUntil = new HashMap<>();
        List<String> topics = List.of();
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private final ServerSocket socket;

    StoreStandIn(InetAddress address) throws IOException {
        socket = new ServerSocket(0, 256, address);
        Threads.start("store", () -> {
            while (true) {
                Socket connection = socket.accept();
                Threads.start("store-connection", () -> serve(connection));
            }
        });
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Writes a record of a keyed topic, as the operator and the replicas do. A null value removes the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        topic(topic).add(new Entry(key, bytes));
        notifyAll();
    }

    /** Whether a router has joined the group. */
    synchronized boolean hasMembers() {
        return groups.values().stream().anyMatch(group -> !group.members.isEmpty());
    }

    private List<Entry> topic(String name) {
        return topics.computeIfAbsent(name, unused -> new ArrayList<>());
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readExactly(in, head.length());
                answer(head, body, out);
            }
        } catch (IOException closed) {
            // The caller has closed its connection.
        }
    }

    private void answer(Http.Head head, byte[] body, OutputStream out) throws IOException {
        String path = head.target().replaceAll("\\?.*", "");
        Map<String, String> query = query(head.target());
        byte[] answer;
        int status = 200;
        switch (path) {
            case "/-/log-read" -> answer = read(query);
            case "/-/log-newest" -> answer = newest(query).getBytes(StandardCharsets.UTF_8);
            case "/-/log-join" -> answer = join(new String(body, StandardCharsets.UTF_8)).getBytes();
            case "/-/log-owners" -> answer = owners(query.get("group")).getBytes();
            case "/-/log-append" -> {
                String appended = append(query, body);
                status = appended == null ? 412 : 200;
                answer = (appended == null ? "{\"end_offset\":" + end(query.get("topic")) + "}" : appended).getBytes();
            }
            default -> {
                status = 404;
                answer = new byte[0];
            }
        }
        String line = "HTTP/1.1 " + status + (status == 200 ? " OK" : " Refused") + "\r\n";
        out.write(Http.ascii(line + "Content-Length: " + answer.length + "\r\n\r\n"));
        out.write(answer);
        out.flush();
    }

    private static Map<String, String> query(String target) {
        Map<String, String> fields = new HashMap<>();
        if (!target.contains("?")) return fields;
        for (String field : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] pair = field.split("=", 2);
            fields.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return fields;
    }

    private synchronized long end(String topic) {
        return topic(topic).size();
    }

    private synchronized byte[] read(Map<String, String> query) throws IOException {
        List<Entry> entries = topic(query.get("topic"));
        int source = Integer.parseInt(query.get("source"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        while (entries.size() <= source && System.nanoTime() < until) {
            try {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(Math.min(source, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }

    private synchronized String newest(Map<String, String> query) {
        List<Entry> entries = topic(query.get("topic"));
        Map<String, String> rows = new LinkedHashMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            rows.remove(entry.key());
            if (entry.value().length == 0) continue;
            String data = Base64.getEncoder().encodeToString(entry.value());
            rows.put(entry.key(), "{\"key\":\"" + entry.key() + "\",\"data\":\"" + data + "\",\"offset\":" + offset + "}");
        }
        return "{\"entries\":[" + String.join(",", rows.values()) + "],\"has_more\":false,\"end_offset\":"
            + entries.size() + "}";
    }

    /** Appends one record of a keyed topic. Returns null if the topic does not end at the offset given. */
    private synchronized String append(Map<String, String> query, byte[] body) {
        List<Entry> entries = topic(query.get("topic"));
        String at = query.get("at");
        if (at != null && Long.parseLong(at) != entries.size()) return null;
        int keyLength = body[4] & 0xff;
        String key = new String(body, 5, keyLength, StandardCharsets.UTF_8);
        entries.add(new Entry(key, Arrays.copyOfRange(body, 5 + keyLength, body.length)));
        notifyAll();
        return "{\"offset\":" + (entries.size() - 1) + ",\"end_offset\":" + entries.size() + "}";
    }

    private synchronized String join(String body) {
        Group group = groups.computeIfAbsent(field(body, "group"), unused -> new Group());
        String member = field(body, "member_id");
        long now = System.nanoTime();
        group.topics = Arrays.asList(body.replaceAll(".*\"topics\":\\[([^\\]]*)\\].*", "$1").replace("\"", "").split(","));
        group.aliveUntil.put(member, now + Long.parseLong(field(body, "ttl_ms")) * 1_000_000L);
        group.aliveUntil.values().removeIf(until -> until < now);
        TreeSet<String> alive = new TreeSet<>(group.aliveUntil.keySet());
        if (!alive.equals(group.members)) {
            group.members.clear();
            group.members.addAll(alive);
            group.generation++;
        }
        List<String> rows = rows(group).stream().filter(row -> row.member().equals(member))
            .map(row -> "[\"" + row.topic() + "\"," + row.part() + ",0]").toList();
        return "{\"generation\":" + group.generation + ",\"ttl_ms\":3000,\"parts\":[" + String.join(",", rows) + "]}";
    }

    private synchronized String owners(String name) {
        Group group = groups.computeIfAbsent(name, unused -> new Group());
        List<String> rows = rows(group).stream()
            .map(row -> "[\"" + row.topic() + "\"," + row.part() + ",\"" + row.member() + "\",0]").toList();
        return "{\"generation\":" + group.generation + ",\"parts\":[" + String.join(",", rows) + "]}";
    }

    private record Row(String topic, int part, String member) {
    }

    private static List<Row> rows(Group group) {
        List<Row> rows = new ArrayList<>();
        List<String> members = new ArrayList<>(group.members);
        if (members.isEmpty()) return rows;
        int next = 0;
        for (String topic : group.topics) {
            for (int part = 0; part < PARTS; part++) {
                rows.add(new Row(topic, part, members.get(next++ % members.size())));
            }
        }
        return rows;
    }

    private static String field(String body, String name) {
        return body.replaceAll(".*\"" + name + "\":\"?([^\",}]*)\"?.*", "$1");
    }
}
