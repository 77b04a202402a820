package dev.wigeonward.standins.vms;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.net.HostAndPort;
import dev.wigeonward.standins.http.HttpStandin;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import org.kohsuke.args4j.Option;

/** Registers, changes or removes one VM in a running list. */
public final class RegisterCommand {
    @Option(name = "--vms", metaVar = "HOST:PORT", required = true, usage = "address of the list")
    private String list;

    @Option(name = "--id", required = true, usage = "id of the VM")
    private String id;

    @Option(name = "--role", required = true, usage = "entry, or the model or service that runs on the VM")
    private String role;

    @Option(name = "--address", metaVar = "HOST:PORT", required = true, usage = "address of the process on the VM")
    private String address;

    @Option(name = "--failure-domain", required = true, usage = "failure domain of the VM")
    private String failureDomain;

    @Option(name = "--state", usage = "live, leaving or gone")
    private String state = "live";

    /** Returns 0 if the list took the VM, 1 if not. */
    public int run() throws InterruptedException, JsonProcessingException {
        HostAndPort target = HostAndPort.fromString(list);
        HttpClient client =
                HttpClients.forSingleAddress(target.getHost(), target.getPort()).build();
        try {
            byte[] body = HttpStandin.JSON.writeValueAsBytes(new VmRecord(id, role, address, failureDomain, state));
            HttpResponse response = client.request(client.post("/admin/vms")
                            .payloadBody(
                                    client.executionContext().bufferAllocator().wrap(body)))
                    .toFuture()
                    .get();
            if (response.status().code() == 200) {
                return 0;
            }
            System.err.println(response.status() + " " + response.payloadBody().toString(StandardCharsets.UTF_8));
            return 1;
        } catch (ExecutionException e) {
            System.err.println(list + " does not answer: " + e.getCause());
            return 1;
        } finally {
            client.closeAsync().subscribe();
        }
    }
}
