package dev.wigeonward.pages;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads the Markdown pages of the repository and their fenced blocks. */
final class Pages {
    static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern BLOCK = Pattern.compile("(?ms)^```([^\n`]*)\n(.*?)^```$");

    /** Fenced block of a page; the language is the whole text after the opening fence. */
    record Block(Path page, String language, String text) {
        @Override
        public String toString() {
            return ROOT.relativize(page) + ": " + text.lines().findFirst().orElse("");
        }
    }

    private Pages() {}

    static List<Path> all() {
        List<Path> pages = new ArrayList<>(List.of(ROOT.resolve("README.md")));
        try (Stream<Path> files = Files.list(ROOT.resolve("docs"))) {
            files.filter(file -> file.toString().endsWith(".md")).sorted().forEach(pages::add);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return pages;
    }

    static Path page(String name) {
        return ROOT.resolve("docs").resolve(name);
    }

    static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<Block> blocks(String language) {
        return all().stream()
                .flatMap(page -> BLOCK.matcher(text(page))
                        .results()
                        .filter(match -> match.group(1).equals(language))
                        .map(match -> new Block(page, language, match.group(2))))
                .toList();
    }

    /** Returns the cells of each row of the first table after the heading, without the header row. */
    static List<List<String>> table(Path page, String heading) {
        List<List<String>> rows = text(page)
                .lines()
                .dropWhile(line -> !line.equals(heading))
                .dropWhile(line -> !line.startsWith("|"))
                .takeWhile(line -> line.startsWith("|"))
                .map(line -> Stream.of(line.substring(1, line.length() - 1).split("\\|"))
                        .map(String::strip)
                        .toList())
                .toList();
        return rows.subList(Math.min(2, rows.size()), rows.size());
    }
}
