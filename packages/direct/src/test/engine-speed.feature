Feature: the speed of an engine between entries

  Scenario: reports of streams that are damaged, or come from entries of the version before
    Guards against one message that makes every later rate of an engine wrong.
    Then a report without fields counts no stream, and values that are no counts or paces are left out
    And a report holds 8 paces at most, and none twice

  Scenario: an entry that hears from holders of this version and of the version before
    Guards against a slow engine that counts as fast each time that an entry of the version before passes its load on.
    Then an entry keeps the last speed when a load comes without one, and passes none on that it has not heard
    And a speed beyond the limits is limited, and one that is no number is left out
    And prompt tokens at an engine of speed 0.5 are read half as fast

  Scenario: operators look at the speeds of engines
    Guards against the figures of an engine that are shown on after it has another holder.
    Then the metrics show the speed and age of each engine that the entry holds, and of no other

  Scenario: an engine that changes hands
    Guards against a successor that sends a slow engine as many prompts as a fast one until it has measured it.
    Given a holder whose entry knows no speed of the engine
    Then it reports no speed, as the version before does
    When streams of the engine end that take 2.4 times as long
    Then the holder reports the speed 0.41 and logs the change once
    When another holder succeeds it, whose entry has heard of that speed
    Then the holder reports the speed 0.41 and logs no change
    When the engine starts again
    Then the holder reports the speed 1
