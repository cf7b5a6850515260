Feature: strong entries do more of the work that entries do for each other

  Scenario: a weak host holds no more engines than its processor has room for
    Callers come to all entries alike. On a host of a fifth of a core, an engine's load requests and admissions take the
    time that the host's own callers need, and they are late.
    Given 38 engines held by 18 entries of 0.184 cores, 6 of 0.594 and 6 of 1.35
    When the engines are distributed from any start
    Then the entries of 0.184 cores hold at most 3 engines together
    And no entry of them exceeds 3 engines

  Scenario: equal strengths
    Then with equal or unknown strengths each claim and each handover is the same as by the even distribution

  Scenario: engines move in circles between uneven entries
    Then for any strengths and any holders the handovers end, no entry exceeds its bound, and no weaker entry holds more engines

  Scenario: entries of the build before hand engines back
    An engine is without orders during each handover. A build that distributes evenly gives engines to the entries that
    hold fewest, and one that distributes by strength returns them.
    Then for any entries of both builds each engine gets a holder, the handovers end, and the last upgrade distributes by strength

  Scenario: an entry whose strength is not known
    Then it counts as the median of those known
