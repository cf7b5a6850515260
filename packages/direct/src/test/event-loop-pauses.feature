Feature: pauses of an entry's own process

  Scenario: a process that was paused
    Guards against an upstream that is blamed for a silence in which the entry itself read nothing.
    Then of several pauses the longest one after a time is reported, also one that has not ended
    And a delay of a few milliseconds is not reported
