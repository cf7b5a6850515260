Feature: operators see the recent requests of organisations

  Scenario: counts of the recent past
    Given an entry that admitted 40 units of "north", of which 10 were returned, and refused 7
    Then its counts have 30 units admitted and 7 refused
    And they have none 11 s later

  Scenario: more organisations than an answer has room for
    Guards against an entry whose memory grows with the number of organisations that send requests.
    Given an entry with requests of 2000 organisations
    Then its counts have 500 organisations
