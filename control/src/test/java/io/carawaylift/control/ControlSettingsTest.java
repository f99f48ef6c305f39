package io.carawaylift.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.runtime.Settings;
import io.carawaylift.runtime.SettingsException;
import org.junit.jupiter.api.Test;

final class ControlSettingsTest {
    private static final String VALID_TOML = """
            [host]
            id = "a1"
            region = "huye"
            failure_domain = "huye-a"
            address = "127.0.0.1"
            [platform]
            url = "http://127.0.0.1:8000"
            [control]
            port = 7000
            admin_port = 7001
            seeds = ["127.0.0.2:7000"]
            [entry]
            port = 7100
            """;

    @Test
    void sectionsOfOtherProgramsAreIgnored() {
        ControlSettings settings = ControlSettings.of(Settings.parse("host.toml", VALID_TOML));
        assertThat(settings.port()).isEqualTo(7000);
        assertThat(settings.seeds()).containsExactly("127.0.0.2:7000");
    }

    @Test
    void theErrorNamesAMisspeltKeyAndItsFile() {
        Settings settings = Settings.parse("host.toml", VALID_TOML.replace("seeds", "seed"));
        SettingsException failure = assertThrows(SettingsException.class, () -> ControlSettings.of(settings));
        assertThat(failure).hasMessageThat().contains("host.toml: control.seed = ");
    }
}
