import java.nio.file.*;
import java.util.Comparator;
import java.util.stream.Stream;

/** Frame of a case: folders, the switch TROUBLE, and the exit code. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Path folder;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
    static void run(Case played, String caseFolder) {
        int code = 2;
        try (Record record = new Record(Path.of(caseFolder))) {
            played.record = record;
            Runner.log = record::line;
            played.folder = Files.createTempDirectory("review");
            record.line("TROUBLE=" + (played.trouble ? 1 : 0));
            boolean held = played.play();
            record.say(held ? "held" : "BROKEN");
            code = held ? 0 : 1;
        } catch (Exception | Error e) {
            System.err.println("the case could not run: " + e);
            e.printStackTrace();
        }
        Entry.endAll();
        delete(played.folder);
        Runtime.getRuntime().halt(code);
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (Exception e) {
            System.err.println("not deleted: " + folder);
        }
    }
}
