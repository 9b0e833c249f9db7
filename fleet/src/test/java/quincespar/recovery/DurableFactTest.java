package quincespar.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quincespar.recovery.DurableFact.FolderCondition;
import quincespar.recovery.DurableFact.Handling;

/** The table of the design document: how each fact is handled in each condition of the folder. */
class DurableFactTest {
    @ParameterizedTest
    @CsvSource({
        "REPLICATED_STATE, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED",
        "LOAD_STARTED, USED, MISSING, USED_PARTIALLY, USED_PARTIALLY, MISSING",
        "ENGINE_DEPARTED, USED, MISSING, USED_PARTIALLY, USED_PARTIALLY, MISSING",
        "LEARNED_ESTIMATES, USED, MISSING, MISSING, MISSING, MISSING",
        "ENGINE_WARM, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED",
        "ENGINE_HEALTHY, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED",
        "OPEN_REQUESTS, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED",
        "CLOCK_TIME, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED, NEVER_USED",
    })
    void handlesEachFactAsTheTableSays(DurableFact fact, Handling whole, Handling lost, Handling old, Handling corrupt,
            Handling anothers) {
        assertThat(fact.handling(FolderCondition.WHOLE)).isEqualTo(whole);
        assertThat(fact.handling(FolderCondition.LOST)).isEqualTo(lost);
        assertThat(fact.handling(FolderCondition.OLD)).isEqualTo(old);
        assertThat(fact.handling(FolderCondition.CORRUPT)).isEqualTo(corrupt);
        assertThat(fact.handling(FolderCondition.ANOTHERS)).isEqualTo(anothers);
    }

    @Test
    void givesAReasonForEachFact() {
        assertThat(DurableFact.values()).allSatisfy(t -> assertThat(t.reason()).isNotBlank());
    }
}
