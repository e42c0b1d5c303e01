Feature: Operators change the document from the command line

  Scenario: Two operators race with equal versions
    Given the document skaft.yaml by anna is in force
    And bo submits just before the next submission arrives
    When cara runs "submit skaft.yaml --based-on 1 --author cara"
    Then the exit code is 3
    And the output says "bo has the version in force, 2; this was based on 1"

  Scenario: A submission is sent again after its answer was lost
    Given the answer to the next submission is lost
    When anna runs "submit skaft.yaml --based-on 0 --author anna"
    Then the exit code is 75
    And the version in force is 1
    When anna runs "submit skaft.yaml --based-on 0 --author anna"
    Then the exit code is 0
    And the output says "accepted: version 1"
    And the version in force is 1

  Scenario: A backend server is drained and taken back
    Given the document skaft.yaml by anna is in force
    When bo runs "drain repair-1 --author bo"
    Then the exit code is 0
    And the output says "repair-1 is leaving"
    When bo runs "drain repair-1 --author bo"
    Then the output says "repair-1 is leaving already; nothing was submitted"
    When bo runs "undrain repair-1 --author bo"
    Then the output says "repair-1 is not leaving"
    And the version in force is 3

  Scenario: A drain that lost a race is tried again only on request
    Given the document skaft.yaml by anna is in force
    And bo submits just before the next submission arrives
    When cara runs "drain repair-1 --author cara"
    Then the exit code is 3
    Given bo submits just before the next submission arrives
    When cara runs "drain repair-1 --author cara --retries 1"
    Then the exit code is 0
    And the output says "bo won with version 3; trying again"
    And the version in force is 4

  Scenario: A misspelt server is refused, and the nearest name is the remedy
    Given the document skaft.yaml by anna is in force
    When bo runs "drain repare-1 --author bo"
    Then the exit code is 2
    And the output says "remedy: write repair-1"
