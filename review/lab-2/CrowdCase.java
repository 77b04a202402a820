import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Many users come to one entry at once, each with one request with a long list of parts of its prompt, and leave again;
 * this happens a few times. Well after that, a few ordinary requests are sent to the same entry.
 */
final class CrowdCase {
    /** An entry has 4,100 descriptors, of which 200 are kept for files. */
    private static final int USERS = 3_700;

    private static final int USERS_WITHOUT_TROUBLE = 100;
    /** With the other headers, a head stays below the limit of 16,384 bytes. */
    private static final int PREFIX_BYTES = 15_600;

    private static final int WAVES = 6;
    private static final int STAY_MILLIS = 4_000;
    /** Time after the users have left: 5 s in which a machine may count as slowed, 3 s until it is in touch, and more. */
    private static final int CALM_MILLIS = 12_000;

    /** Users in a row who cannot connect, after which no more of them come; each waits for a second. */
    private static final int MAX_FAILED_IN_A_ROW = 8;

    private static final int PROBES = 12;
    private static final int TIMEOUT_MILLIS = 4_000;

    public static void main(String[] arguments) {
        int status = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            status = run(lab);
            lab.log(status == 0 ? "the rule held" : status == 1 ? "the rule is broken" : "the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put(
                "op/config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-app\",\"host\":\"lab.example\",\"prefix\":\"/app/\","
                        + "\"type\":\"safe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":0,\"service\":\"app\","
                        + "\"attempts\":1,\"public\":false,\"affinity\":true,\"resumable\":false}],"
                        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key1\"],\"priority\":1,"
                        + "\"unit\":\"tokens\",\"default_tokens\":200}]}");
        RunnerProcess runner = new RunnerProcess(lab, "i-1", Lab.freePort(), Integer.MAX_VALUE, false);
        runner.register("app", 6, 1);
        List<Lab.Entry> entries = lab.startEntries(3);
        Lab.Entry entry = entries.get(0);
        Lab.sleep(1_500);
        if (probe(lab, entry, "before") < PROBES) {
            return 2;
        }
        for (int wave = 0; wave < WAVES; wave++) {
            int came = crowd(lab, entry, Lab.TROUBLE ? USERS : USERS_WITHOUT_TROUBLE);
            if (Lab.TROUBLE && came < USERS) {
                if (entry.ready()) {
                    // For example, this machine allows too few descriptors.
                    return 2;
                }
                break;
            }
        }
        Lab.sleep(CALM_MILLIS);
        lab.log("the process of " + entry.name + " is alive: " + entry.process.isAlive() + ", ready: "
                + entry.ready() + ", lines with OutOfMemoryError in its output: "
                + entry.outputLines("OutOfMemoryError") + "; " + entries.get(1).name + " ready: " + entries.get(1).ready());
        int answered = probe(lab, entry, "after");
        return 2 * answered < PROBES ? 1 : 0;
    }

    /** Lets users come, each on a channel of its own, and leave; returns how many came. */
    private static int crowd(Lab lab, Lab.Entry entry, int users) throws Exception {
        StringBuilder prefix = new StringBuilder();
        for (int part = 0; prefix.length() < PREFIX_BYTES - 12; part++) {
            prefix.append(part == 0 ? "" : ",").append(Integer.toHexString(0x5c1e07a2 + part)).append(":20");
        }
        List<SocketChannel> channels = new ArrayList<>();
        int failed = 0;
        int failedInARow = 0;
        int longest = 0;
        for (int user = 0; user < users && failedInARow < MAX_FAILED_IN_A_ROW; user++) {
            byte[] request = ("GET /app/" + user + " HTTP/1.1\r\nHost: lab.example\r\nAttempt-Id: u" + user
                            + "\r\nModel: m\r\nToken-Usage: 26000,80\r\nPrefix-Hash: " + prefix
                            + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key1\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            longest = Math.max(longest, request.length);
            try {
                SocketChannel channel = SocketChannel.open();
                channels.add(channel);
                channel.socket().connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.callerPort), 1_000);
                channel.configureBlocking(false);
                channel.write(ByteBuffer.wrap(request));
                failedInARow = 0;
            } catch (IOException e) {
                failed++;
                failedInARow++;
            }
        }
        lab.log(channels.size() + " users came, the longest head has " + longest + " bytes; not connected within a second: "
                + failed);
        Lab.sleep(STAY_MILLIS);
        int answers = 0;
        for (SocketChannel channel : channels) {
            try {
                answers += channel.isConnected() && channel.read(ByteBuffer.allocate(64)) > 0 ? 1 : 0;
            } catch (IOException e) {
                // This user's channel was closed.
            }
            channel.close();
        }
        lab.log("users with an answer: " + answers + "; all have left");
        return channels.size();
    }

    /** Sends ordinary requests and returns how many got a final answer by half a second after the route's timeout. */
    private static int probe(Lab lab, Lab.Entry entry, String when) throws Exception {
        List<Thread> threads = new ArrayList<>();
        int[] answered = new int[1];
        for (int i = 0; i < PROBES; i++) {
            String id = when + i;
            Thread thread = new Thread(() -> {
                Lab.Answer answer = new Lab.Answer();
                try (Lab.Channel channel = entry.connect()) {
                    answer = channel.call(
                            "GET /app/x HTTP/1.1\r\nHost: lab.example\r\nAttempt-Id: " + id
                                    + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key1\r\n\r\n",
                            new byte[0],
                            TIMEOUT_MILLIS + 500);
                } catch (IOException e) {
                    answer.end = "no channel: " + e.getMessage();
                }
                lab.log("request " + id + " to " + entry.name + ": status " + answer.status + ", end: " + answer.end);
                synchronized (answered) {
                    answered[0] += answer.whole ? 1 : 0;
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        lab.log("requests " + when + " the crowd with a final answer within " + (TIMEOUT_MILLIS + 500) + " ms: "
                + answered[0] + " of " + PROBES);
        return answered[0];
    }
}
