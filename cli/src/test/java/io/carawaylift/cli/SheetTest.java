package io.carawaylift.cli;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.CarawayliftException;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SheetTest {
    private final Sheet sheet =
            Sheet.of(List.of("name", "why"), List.of(List.of("a", "x, \"y\""), List.of("long", "")));

    @Test
    void textIsAlignedUnderItsColumns() {
        assertThat(sheet.format("text")).isEqualTo("name  why\na     x, \"y\"\nlong\n");
    }

    @Test
    void csvQuotesCommasAndQuotes() {
        assertThat(sheet.format("csv")).isEqualTo("name,why\r\na,\"x, \"\"y\"\"\"\r\nlong,\r\n");
    }

    @Test
    void jsonHasOneObjectPerRow() {
        assertThat(sheet.format("json").lines().toList().get(1)).isEqualTo("{\"name\":\"long\",\"why\":\"\"}");
    }

    @Test
    void anUnknownFormatIsRejected() {
        assertThrows(CarawayliftException.class, () -> sheet.format("xml"));
    }
}
