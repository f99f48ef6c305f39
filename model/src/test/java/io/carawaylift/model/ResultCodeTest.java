package io.carawaylift.model;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ResultCodeTest {
    private static final Path PAGE = Path.of("..", "docs", "result-codes.md");

    @Test
    void numbersAreUnique() {
        Set<Integer> numbers = new HashSet<>();
        for (ResultCode code : ResultCode.values()) {
            assertThat(numbers.add(code.number())).isTrue();
        }
    }

    /** Guards against a result code that is missing from the documentation. */
    @Test
    void thePageListsExactlyTheCodesOfThisType() throws IOException {
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(code -> "| " + code.number() + " | `" + code.name() + "` | " + code.httpStatus() + " | "
                        + code.outcome() + " | " + code.meaning() + " |")
                .toList();

        List<String> listed = Files.readAllLines(PAGE).stream()
                .filter(line -> line.matches("\\| \\d+ \\|.*"))
                .toList();

        assertThat(listed).containsExactlyElementsIn(expected).inOrder();
    }
}
