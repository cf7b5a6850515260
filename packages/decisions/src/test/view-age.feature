Feature: the age of a view of the store

  Scenario: a chain of entries that answer each other
    A key that was withdrawn seconds ago still gives access at an entry that was frozen. This happens when the age of an
    answer counts from the time at which it was read: answers are late, entries are frozen or suspended at any moment, clocks
    are set, and some entries learn of changes only from others.
    Then whatever is late, frozen, suspended or set, no view is older than its reported age

  Scenario: a process that was suspended
    Given a view whose age was confirmed a moment ago
    When the process is suspended for 10 s
    Then the age of the view is unknown until a new question is answered
