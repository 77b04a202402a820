package dev.wigeonward.standins.vms;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import dev.wigeonward.standins.http.StandinHttpServer;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import org.kohsuke.args4j.Option;

/** Command that registers, changes or removes VMs in a running VM list. */
public final class RegisterCommand {
    private static final int FIELDS = 4;
    private static final int STATUS_OK = 200;

    @Option(name = "--vms", metaVar = "HOST:PORT", required = true, usage = "address of the list")
    private String list;

    @Option(
            name = "--vm",
            metaVar = "ID,ROLE,HOST:PORT,FAILURE_DOMAIN",
            required = true,
            usage = "VM to register; the role is entry, or the model or service that runs on it; may be repeated")
    private List<String> vms = new ArrayList<>();

    @Option(name = "--state", usage = "live, leaving or gone")
    private String state = "live";

    /** Registers the VMs and returns the exit code: 0 if the list accepted all of them, 1 otherwise. */
    public int run() throws InterruptedException, JsonProcessingException {
        HostAndPort target = HostAndPort.fromString(list);
        HttpClient client =
                HttpClients.forSingleAddress(target.getHost(), target.getPort()).build();
        try {
            for (String vm : vms) {
                if (!register(client, vm)) {
                    return 1;
                }
            }
            return 0;
        } catch (ExecutionException e) {
            System.err.println("VM list " + list + " does not answer: " + e.getCause());
            return 1;
        } finally {
            client.closeAsync().subscribe();
        }
    }

    private boolean register(HttpClient client, String vm)
            throws InterruptedException, ExecutionException, JsonProcessingException {
        List<String> parts = Splitter.on(',').splitToList(vm);
        if (parts.size() != FIELDS) {
            System.err.println("--vm is " + vm + "; expected ID,ROLE,HOST:PORT,FAILURE_DOMAIN");
            return false;
        }
        VmRecord record = new VmRecord(parts.get(0), parts.get(1), parts.get(2), parts.get(3), state);
        byte[] body = StandinHttpServer.JSON.writeValueAsBytes(record);
        HttpResponse response = client.request(client.post("/admin/vms")
                        .payloadBody(client.executionContext().bufferAllocator().wrap(body)))
                .toFuture()
                .get();
        if (response.status().code() != STATUS_OK) {
            System.err.println("VM list " + list + " refused VM " + record.id() + ": " + response.status() + " "
                    + response.payloadBody().toString(StandardCharsets.UTF_8));
            return false;
        }
        return true;
    }
}
