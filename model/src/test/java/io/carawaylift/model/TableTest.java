package io.carawaylift.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class TableTest {
    private static final String VALID = """
            [[region]]
            name = "kigali"
            weight = 3

            [[region]]
            name = "huye"
            weight = 1

            [[service]]
            name = "booking"
            rank = "urgent"
            max_deadline_ms = 5000

            [[upstream]]
            name = "booking-kigali-a"
            service = "booking"
            region = "kigali"
            failure_domain = "kigali-a"
            weight = 1

            [[upstream]]
            name = "booking-kigali-b"
            service = "booking"
            region = "kigali"
            failure_domain = "kigali-b"
            weight = 2
            max_in_flight = 8

            [[upstream]]
            name = "booking-huye-a"
            service = "booking"
            region = "huye"
            failure_domain = "huye-a"
            weight = 7

            [[link]]
            from = "kigali"
            to = "huye"
            max_mbit_per_s = 4000

            [[rank]]
            name = "standard"
            floor_percent = 20

            [lookup]
            lifetime_ms = 2000
            """;

    @Test
    void sharesAreRegionWeightTimesUpstreamWeightNormalised() {
        Table table = Table.parse(VALID);

        assertThat(table.wantedShares("booking"))
                .containsExactly("booking-kigali-a", 0.25, "booking-kigali-b", 0.5, "booking-huye-a", 0.25);
    }

    @Test
    void aDrainedRegionGivesItsShareToTheOthers() {
        Table table = Table.parse(VALID.replace("weight = 7", "weight = 7\ndrain = true"));

        assertThat(table.wantedShares("booking")).containsEntry("booking-huye-a", 0.0);
        assertThat(table.wantedShares("booking")).containsEntry("booking-kigali-b", 2.0 / 3);
    }

    @Test
    void writtenTomlReadsBackToAnEqualTable() {
        Table table = Table.parse(VALID);

        assertThat(Table.parse(table.toToml())).isEqualTo(table);
    }

    @Test
    void everyInvalidCellIsReportedWithRowColumnValueAndRule() {
        String toml =
                VALID.replace("weight = 3", "weight = \"three\"").replace("name = \"standard\"", "name = \"vip\"");

        InvalidTableException thrown = assertThrows(InvalidTableException.class, () -> Table.parse(toml));

        assertThat(thrown.problems())
                .containsExactly(
                        new TableProblem("region kigali", "weight", "\"three\"", "must be a whole number"),
                        new TableProblem("rank vip", "name", "\"vip\"", "must be urgent, standard or deferrable"));
    }

    @Test
    void anUnknownColumnIsRejected() {
        InvalidTableException thrown = assertThrows(
                InvalidTableException.class, () -> Table.parse(VALID.replace("max_in_flight = 8", "max_in_flite = 8")));

        assertThat(thrown.problems().get(0).column()).isEqualTo("max_in_flite");
    }

    @Test
    void anUpstreamMustNameAKnownRegion() {
        InvalidTableException thrown = assertThrows(
                InvalidTableException.class,
                () -> Table.parse(VALID.replace("region = \"huye\"", "region = \"gitega\"")));

        assertThat(thrown.problems().get(0).value()).isEqualTo("gitega");
    }

    @Test
    void theDifferenceOfTwoTablesNamesTheChangedRows() {
        Table older = Table.parse(VALID);
        Table newer = Table.parse(VALID.replace("weight = 7", "weight = 8"));

        assertThat(RowChange.between(older, newer).stream().map(RowChange::key))
                .containsExactly("upstream booking-huye-a");
    }
}
