Feature: as of when a view is complete

  Scenario: a chain of entries that tell each other
    Symptom: a key that was withdrawn seconds ago still opens a route at an entry that was frozen.
    Events: answers are late, entries are frozen or suspended at any moment, clocks are set; some learn from others only.
    Cause: an answer counted from the time at which it was read.
    Then whatever is late, frozen, suspended or set, no view is older than it is said to be

  Scenario: a process that was suspended
    Given a view that was proved a moment ago
    When the process is suspended for 10 s
    Then nothing proves the view until a new question is answered
