package quincespar.program.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import quincespar.settings.ConfException;
import quincespar.settings.ConfReader;
import quincespar.settings.Settings;

class FleetSettingsTest {
    private static Settings read(String text) throws ConfException {
        return ConfReader.read("f", text);
    }

    @Test
    void theFleetIsDisabledWithoutVoters() throws ConfException {
        assertThat(FleetSettings.isEnabled(Settings.defaults())).isFalse();
        assertThat(FleetSettings.isEnabled(read("fleet {\n voters \"n1=h:1\"\n}\n"))).isTrue();
    }

    @Test
    void acceptsTheDefaultsAndReportsAllProblemsTogether() throws ConfException {
        FleetSettings fleet = FleetSettings.read(
                read("fleet {\n voters \"n1=h:1,n2=h:2,n3=h:3\"\n}\nstate {\n folder /x\n}\n"), "f");
        assertThat(fleet.folder()).isEqualTo(Path.of("/x"));
        assertThat(fleet.registerWritesAllowed()).isFalse();
        assertThatThrownBy(() -> FleetSettings.read(read("fleet {\n voters \"n1=h:1,n2=h\"\n renew 1s\n}\n"), "f"))
                .isInstanceOf(ConfException.class).hasMessage("f: fleet voters: 'h' of n2 is not HOST:PORT\n"
                + "f: fleet suspect must be at least three times renew, so that one lost renewal changes no standing");
    }
}
